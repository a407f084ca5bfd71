#ifndef AUBURNRAIL_CORE_WALLCLOCK_H
#define AUBURNRAIL_CORE_WALLCLOCK_H

#include <cstdint>
#include <functional>

namespace auburnrail {

/// Source of the wall clock time, in milliseconds since 1970 UTC. Only for records and reports that
/// instances share; decisions use TimePoint.
using WallClock = std::function<auto()->std::int64_t>;

/// The system's wall clock.
[[nodiscard]] auto systemWallClockMillis() -> std::int64_t;

} // namespace auburnrail

#endif
