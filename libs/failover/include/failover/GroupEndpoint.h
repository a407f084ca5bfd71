#ifndef AUBURNRAIL_FAILOVER_GROUPENDPOINT_H
#define AUBURNRAIL_FAILOVER_GROUPENDPOINT_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// An endpoint of a group.
struct GroupEndpoint
{
    std::string name;
    std::string address;         ///< IP:port
    bool leaving = false;        ///< Becomes primary only if no equally advanced endpoint can.
    std::uint64_t startedAt = 0; ///< Unix time of its process's start, ms.
};

} // namespace auburnrail

#endif
