#ifndef AUBURNRAIL_REQUEST_CONNECTIONPOOLSTATS_H
#define AUBURNRAIL_REQUEST_CONNECTIONPOOLSTATS_H

#include <cstddef>

namespace auburnrail {

/// Connection counts of one endpoint, by state.
struct ConnectionPoolStats
{
    std::size_t limit = 0;
    std::size_t idle = 0;
    std::size_t inUse = 0;
    std::size_t opening = 0;
    std::size_t waiting = 0;
};

} // namespace auburnrail

#endif
