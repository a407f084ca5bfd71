#include <core/MonotonicClock.h>

#include <ctime>

namespace auburnrail {

auto monotonicNow() -> TimePoint
{
    auto time = timespec();
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace auburnrail
