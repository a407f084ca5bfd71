#ifndef AUBURNRAIL_HEARTBEAT_STAMPEDPOSITION_H
#define AUBURNRAIL_HEARTBEAT_STAMPEDPOSITION_H

#include <heartbeat/LeaderStamp.h>

#include <core/Position.h>

namespace auburnrail {

/// Position that a primary named in its response to a request that was sent after the stamp had
/// arrived.
struct StampedPosition
{
    Position position;
    LeaderStamp after;

    auto operator==(const StampedPosition &) const -> bool = default;
};

} // namespace auburnrail

#endif
