#ifndef AUBURNRAIL_CONTROL_HELDRESPONSES_H
#define AUBURNRAIL_CONTROL_HELDRESPONSES_H

#include <quota/HolderId.h>

#include <core/RankedCondition.h>
#include <core/RankedMutex.h>
#include <core/Revision.h>
#include <core/Time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace auburnrail {

/// Delays responses to heartbeats (long polling) until the state or the shares of the entry have
/// changed. Safe from any thread.
class HeldResponses
{
public:
    /// Blocks until the state's revision is above `revision`, the holder's shares have changed,
    /// `deadline` has passed or close() was called.
    auto hold(const HolderId &holder, Revision revision, TimePoint deadline) -> void;

    /// Releases the responses to entries that have applied a lower revision.
    auto revisionReached(Revision revision) -> void;

    /// Releases the response to one holder; if none is held, its next one is not held.
    auto sharesChanged(const HolderId &holder) -> void;

    /// Ends all current waits and makes later ones return at once.
    auto close() -> void;

    /// Number of responses that are held at present.
    [[nodiscard]] auto size() -> std::size_t;

    /// How often a wait was interrupted so far, to release its response or not.
    [[nodiscard]] auto wakeUps() -> std::uint64_t;

private:
    struct Wait
    {
        RankedCondition changed;
        Revision revision = 0;
    };

    RankedMutex mutex{LockRank::HeldResponses};
    /// A holder may have more than one while a repeated heartbeat is processed.
    std::multimap<HolderId, Wait *> waits ABSL_GUARDED_BY(mutex);
    std::uint64_t wakeUpCount ABSL_GUARDED_BY(mutex) = 0;
    Revision reached ABSL_GUARDED_BY(mutex) = 0;
    std::set<HolderId> holdersToNotify ABSL_GUARDED_BY(mutex);
    bool closed ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail

#endif
