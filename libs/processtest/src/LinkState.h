#ifndef AUBURNRAIL_PROCESSTEST_LINKSTATE_H
#define AUBURNRAIL_PROCESSTEST_LINKSTATE_H

#include <core/RankedCondition.h>
#include <core/RankedMutex.h>
#include <core/Time.h>

namespace auburnrail::detail {

/// State of a link that all its connections share.
class LinkState
{
public:
    explicit LinkState(Duration oneWayDelay);

    /// Blocks until `sentAt` plus the delay has passed and the link is not cut. False when closed.
    [[nodiscard]] auto waitToDeliver(TimePoint sentAt) -> bool;

    auto setCut(bool value) -> void;
    auto setDelay(Duration oneWayDelay) -> void;
    auto close() -> void;
    [[nodiscard]] auto isClosed() -> bool;

private:
    RankedMutex mutex{LockRank::Connection};
    RankedCondition changed;
    Duration delay ABSL_GUARDED_BY(mutex);
    bool isCut ABSL_GUARDED_BY(mutex) = false;
    bool closed ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail::detail

#endif
