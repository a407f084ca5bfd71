#ifndef AUBURNRAIL_STATE_AUTHORISATION_H
#define AUBURNRAIL_STATE_AUTHORISATION_H

#include <string>

namespace auburnrail {

/// The organisation on whose behalf a request may run, and its conditions.
struct Authorisation
{
    std::string organisation; ///< Empty: no key, on an open route.
    double weight = 1;
    bool isolatedReads = false; ///< Reads with a maximum staleness need no lease.

    auto operator==(const Authorisation &) const -> bool = default;
};

} // namespace auburnrail

#endif
