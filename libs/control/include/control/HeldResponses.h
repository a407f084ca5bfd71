#ifndef AUBURNRAIL_CONTROL_HELDRESPONSES_H
#define AUBURNRAIL_CONTROL_HELDRESPONSES_H

#include <quota/HolderId.h>

#include <core/Executor.h>
#include <core/RankedMutex.h>
#include <core/Revision.h>
#include <core/Time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace auburnrail {

/// Delays responses to heartbeats (long polling) until the state or the shares of the entry have
/// changed. A held response occupies no thread and no timer. Safe from any thread.
class HeldResponses
{
public:
    /// Shortest time between two calls of releaseAll() that have an effect, so that an entry which
    /// causes one with each heartbeat does not make all others send without pause.
    static constexpr auto RELEASE_ALL_INTERVAL_MS = std::chrono::milliseconds(500);

    /// After a release because of a new revision, the next one waits for this long for each
    /// response that was released. Changes that come closer together are told in one response, so
    /// that the work of a burst does not grow with changes times entries, and a small fleet is told
    /// at once.
    static constexpr auto REVISION_PAUSE_PER_RESPONSE_US = std::chrono::microseconds(250);

    /// `executor` runs what was released.
    explicit HeldResponses(Executor responseExecutor);

    /// Runs `release` once the state's revision is above `revision`, the holder's shares have
    /// changed, `deadline` has passed or close() was called: on this thread if that is so already,
    /// else on the executor. See REVISION_PAUSE_PER_RESPONSE_US.
    auto hold(const HolderId &holder, Revision revision, TimePoint deadline, Task release) -> void;

    /// Releases the responses to entries that have applied a lower revision, now or by expire().
    auto revisionReached(Revision revision, TimePoint now) -> void;

    /// Releases the response to one holder; if none is held, its next one is not held.
    auto sharesChanged(const HolderId &holder) -> void;

    /// Releases all responses, so that the entries report what they see now.
    auto releaseAll(TimePoint now) -> void;

    /// Releases the responses that are due. Called every few tens of milliseconds.
    auto expire(TimePoint now) -> void;

    /// Ends all current waits and makes later ones return at once.
    auto close() -> void;

    /// Number of responses that are held at present.
    [[nodiscard]] auto size() -> std::size_t;

    /// Number of responses released before their deadline so far.
    [[nodiscard]] auto earlyReleases() -> std::uint64_t;

private:
    struct Wait
    {
        Revision revision = 0;
        TimePoint deadline;
        Task release;
    };

    using Waits = std::multimap<HolderId, Wait>;

    struct EarlierDeadline
    {
        auto operator()(const Waits::iterator &left, const Waits::iterator &right) const -> bool
        {
            return left->second.deadline < right->second.deadline;
        }
    };

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto releaseOutdated(TimePoint now) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto release(Waits::iterator row) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto releaseEarly(const std::function<auto(const Wait &)->bool> &isDue) -> void;
    /// Has the released responses run by one task, however many there are.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto scheduleReleased() -> void;
    auto runReleased() -> void;

    const Executor executor;
    RankedMutex mutex{LockRank::HeldResponses};
    /// A holder may have more than one while a repeated heartbeat is processed.
    Waits waits ABSL_GUARDED_BY(mutex);
    std::multiset<Waits::iterator, EarlierDeadline> deadlines ABSL_GUARDED_BY(mutex);
    std::vector<Task> released ABSL_GUARDED_BY(mutex);
    bool isScheduled ABSL_GUARDED_BY(mutex) = false;
    std::uint64_t earlyReleaseCount ABSL_GUARDED_BY(mutex) = 0;
    std::optional<TimePoint> allReleasedAt ABSL_GUARDED_BY(mutex);
    Revision reached ABSL_GUARDED_BY(mutex) = 0;
    bool isAnyOutdated ABSL_GUARDED_BY(mutex) = false; ///< Holds responses to lower revisions.
    TimePoint nextRevisionRelease ABSL_GUARDED_BY(mutex);
    std::set<HolderId> holdersToNotify ABSL_GUARDED_BY(mutex);
    bool closed ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail

#endif
