#ifndef AUBURNRAIL_QUOTA_BENCHMARKS_WORKLOAD_H
#define AUBURNRAIL_QUOTA_BENCHMARKS_WORKLOAD_H

#include <Arrival.h>

#include <quota/ShareLimits.h>

#include <core/Time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburnrail {

/// Load and network partition of one comparison: 9 entries in 3 zones and 8 organisations. Two
/// organisations are large, and one of these sends 5 times its rate. Each organisation sends
/// through 3 entries and moves to others every 5 s.
struct Workload
{
    static constexpr auto ENTRIES = std::size_t(9);
    static constexpr auto ENTRIES_PER_ZONE = std::size_t(3);
    static constexpr auto LENGTH = Duration(std::chrono::seconds(120));
    static constexpr auto PARTITION_START = Duration(std::chrono::seconds(60));
    static constexpr auto PARTITION_END = Duration(std::chrono::seconds(75));
    static constexpr auto WAIT_LIMIT = Duration(std::chrono::milliseconds(500));

    std::map<std::string, ShareLimits> limits;
    std::string overloaded;
    std::vector<Arrival> arrivals; ///< Sorted by time.
};

[[nodiscard]] auto makeWorkload(std::uint64_t seed) -> Workload;

} // namespace auburnrail

#endif
