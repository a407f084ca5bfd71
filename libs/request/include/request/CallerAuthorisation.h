#ifndef AUBURNRAIL_REQUEST_CALLERAUTHORISATION_H
#define AUBURNRAIL_REQUEST_CALLERAUTHORISATION_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Rights that a key or an open route grants on one service.
struct CallerAuthorisation
{
    std::string organisation;
    std::string keyId; ///< Public part of the key; empty on an open route without one.
    std::uint32_t weight = 1;
    bool openRoute = false;     ///< The route needs no key.
    bool isolatedReads = false; ///< Reads with a maximum staleness need no lease.
};

} // namespace auburnrail

#endif
