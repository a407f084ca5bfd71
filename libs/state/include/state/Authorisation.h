#ifndef AUBURNRAIL_STATE_AUTHORISATION_H
#define AUBURNRAIL_STATE_AUTHORISATION_H

#include <string>

namespace auburnrail {

/// On whose behalf a request may run.
struct Authorisation
{
    std::string organisation; ///< Empty: no key came with it, on an open route.
    double weight = 1;
    bool isolatedReads = false; ///< An open route permits reads of a stated age without a lease.

    auto operator==(const Authorisation &) const -> bool = default;
};

} // namespace auburnrail

#endif
