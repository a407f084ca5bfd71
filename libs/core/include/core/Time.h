#ifndef AUBURNRAIL_CORE_TIME_H
#define AUBURNRAIL_CORE_TIME_H

#include <chrono>
#include <functional>

namespace auburnrail {

/// Monotonic time of one process. Never compared between processes.
using TimePoint = std::chrono::steady_clock::time_point;

/// Length of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Source of the current time. Daemons pass the system's monotonic clock, tests a virtual one.
using Clock = std::function<auto()->TimePoint>;

/// Whole milliseconds in `value`, rounded towards zero; the form used in logs and messages.
[[nodiscard]] constexpr auto toMillis(Duration value) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace auburnrail

#endif
