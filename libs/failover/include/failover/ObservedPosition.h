#ifndef AUBURNRAIL_FAILOVER_OBSERVEDPOSITION_H
#define AUBURNRAIL_FAILOVER_OBSERVEDPOSITION_H

#include <core/Position.h>
#include <core/Time.h>

namespace auburnrail {

/// Position that the primary which is being replaced named in a response. What it had acknowledged
/// before `after` is at or before it.
struct ObservedPosition
{
    Position position;
    TimePoint after; ///< The request was sent after this time of the control leader's clock.
};

} // namespace auburnrail

#endif
