#ifndef AUBURNRAIL_HEARTBEAT_LEADERSTAMP_H
#define AUBURNRAIL_HEARTBEAT_LEADERSTAMP_H

#include <core/Time.h>

#include <cstdint>

namespace auburnrail {

/// When a control leader composed an answer. Others only keep it and send it back: its time is
/// compared by the leadership that gave it, and no other.
struct LeaderStamp
{
    std::uint64_t leadership = 0; ///< Term of the control group.
    TimePoint at;                 ///< On the leader's clock.

    auto operator==(const LeaderStamp &) const -> bool = default;
};

} // namespace auburnrail

#endif
