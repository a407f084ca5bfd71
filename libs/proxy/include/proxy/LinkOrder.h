#ifndef AUBURNRAIL_PROXY_LINKORDER_H
#define AUBURNRAIL_PROXY_LINKORDER_H

#include <core/Time.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// A wish for a connection to a server.
struct LinkOrder
{
    std::string endpoint;
    std::string organisation;   ///< Connections belong to one organisation for their whole life.
    std::uint32_t priority = 0; ///< 0 is served first.
    TimePoint objectiveEnd;     ///< An answer after this misses the latency objective.
    TimePoint deadline;
};

} // namespace auburnrail

#endif
