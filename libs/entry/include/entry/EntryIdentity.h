#ifndef AUBURNRAIL_ENTRY_ENTRYIDENTITY_H
#define AUBURNRAIL_ENTRY_ENTRYIDENTITY_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Identity of one run of an entry.
struct EntryIdentity
{
    std::string instance;
    std::uint64_t incarnation = 0; ///< Random, new at each start.
    std::string zone;
    std::string operatorsAddress; ///< IP:port
    std::string relayAddress;     ///< IP:port; empty when statements are not passed on.
    std::string clusterSecret;
};

} // namespace auburnrail

#endif
