#ifndef AUBURNRAIL_REQUEST_CONNECTIONWAITER_H
#define AUBURNRAIL_REQUEST_CONNECTIONWAITER_H

#include <core/Time.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// A request that waits for a connection.
struct ConnectionWaiter
{
    std::uint64_t id = 0;
    std::string organisation;
    std::uint32_t weight = 1;
    TimePoint deadline;
};

} // namespace auburnrail

#endif
