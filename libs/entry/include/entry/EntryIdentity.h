#ifndef AUBURNRAIL_ENTRY_ENTRYIDENTITY_H
#define AUBURNRAIL_ENTRY_ENTRYIDENTITY_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Who one run of an entry is.
struct EntryIdentity
{
    std::string instance;
    std::uint64_t incarnation = 0; ///< Drawn at each start.
    std::string zone;
    std::string operatorsAddress; ///< IP:port
    std::string clusterSecret;
};

} // namespace auburnrail

#endif
