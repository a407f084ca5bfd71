#ifndef AUBURNRAIL_QUOTA_BENCHMARKS_ARRIVAL_H
#define AUBURNRAIL_QUOTA_BENCHMARKS_ARRIVAL_H

#include <core/Time.h>

#include <cstddef>
#include <string>

namespace auburnrail {

/// One request of a workload.
struct Arrival
{
    TimePoint at;
    std::string organisation;
    std::size_t entry = 0;
    bool withinLimits = false; ///< An ideal token bucket over all arrivals admits it.
};

} // namespace auburnrail

#endif
