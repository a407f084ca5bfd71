#ifndef AUBURNRAIL_CONTROL_OBSERVEDIN_H
#define AUBURNRAIL_CONTROL_OBSERVEDIN_H

#include <failover/ObservedPosition.h>
#include <heartbeat/StampedPosition.h>

#include <cstdint>
#include <vector>

namespace auburnrail {

/// The positions whose stamp the leadership gave. Others name a time of another clock.
[[nodiscard]] auto observedIn(std::uint64_t leadership, const std::vector<StampedPosition> &stamped)
    -> std::vector<ObservedPosition>;

} // namespace auburnrail

#endif
