#ifndef AUBURNRAIL_REQUEST_CALLERAUTHORISATION_H
#define AUBURNRAIL_REQUEST_CALLERAUTHORISATION_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// What a key, or an open route, allows on one service.
struct CallerAuthorisation
{
    std::string organisation;
    std::string keyId; ///< Public part of the key; empty on an open route without one.
    std::uint32_t weight = 1;
    bool openRoute = false;     ///< The route needs no key.
    bool isolatedReads = false; ///< Reads with a stated age are served without a lease.
};

} // namespace auburnrail

#endif
