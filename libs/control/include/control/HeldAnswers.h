#ifndef AUBURNRAIL_CONTROL_HELDANSWERS_H
#define AUBURNRAIL_CONTROL_HELDANSWERS_H

#include <quota/HolderId.h>

#include <core/RankedCondition.h>
#include <core/RankedMutex.h>
#include <core/Revision.h>
#include <core/Time.h>

#include <set>

namespace auburnrail {

/// Lets the threads that serve heartbeats hold back their answers until there is something to tell.
/// Safe from any thread.
class HeldAnswers
{
public:
    /// Blocks until the revision is above `revision`, the holder's shares have changed, `deadline`
    /// or close().
    auto hold(const HolderId &holder, Revision revision, TimePoint deadline) -> void;

    /// Releases the answers to entries that apply a lower revision.
    auto revisionReached(Revision revision) -> void;

    /// Releases the answer to one holder, or its next one.
    auto sharesChanged(const HolderId &holder) -> void;

    /// Ends every wait, now and later.
    auto close() -> void;

private:
    RankedMutex mutex{LockRank::HeldAnswers};
    RankedCondition changed;
    Revision reached ABSL_GUARDED_BY(mutex) = 0;
    std::set<HolderId> holdersToTell ABSL_GUARDED_BY(mutex);
    bool closed ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail

#endif
