#include <core/WallClock.h>

#include <chrono>

namespace auburnrail {

auto systemWallClockMillis() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace auburnrail
