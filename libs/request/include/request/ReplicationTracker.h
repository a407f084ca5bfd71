#ifndef AUBURNRAIL_REQUEST_REPLICATIONTRACKER_H
#define AUBURNRAIL_REQUEST_REPLICATIONTRACKER_H

#include <request/ReplicationHooks.h>

#include <core/Position.h>
#include <core/RankedMutex.h>
#include <core/Time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnrail {

namespace detail {

/// One endpoint of a tracked group.
struct ReplicaProgress
{
    std::uint64_t index = 0; ///< Highest known in the group's term.
    bool awaiting = false;   ///< An Await is outstanding.
    bool failed = false;     ///< The last Await failed; expire() sends the next.
};

/// A write that waits for a majority.
struct MajorityWaiter
{
    std::uint64_t index = 0;
    TimePoint deadline;
    std::function<auto(bool confirmed)->void> done;
};

/// Replication progress of one group in its current term.
struct GroupProgress
{
    std::uint64_t term = 0;
    std::map<std::string, ReplicaProgress, std::less<>> endpoints;
    std::vector<MajorityWaiter> waiters;
};

} // namespace detail

/// Detects when a majority of a group has reached a position. Only positions in the group's current
/// term count: the log of a later term need not contain the entries of an earlier one. Thread-safe.
class ReplicationTracker
{
public:
    explicit ReplicationTracker(ReplicationHooks hooks);

    /// Sets the term and the endpoints of a group. A higher term ends the pending waits as
    /// unconfirmed; a lower term is ignored.
    auto setGroup(std::string_view group, std::uint64_t term,
                  const std::vector<std::string> &endpoints) -> void;

    /// Records the position that an endpoint reported in any response.
    auto recordPosition(std::string_view group, std::string_view endpoint, Position position)
        -> void;

    /// Calls `done(true)` once `position` is on a majority; `done(false)` at the deadline, when the
    /// term differs, or when the group is unknown.
    auto awaitMajority(std::string_view group, Position position, TimePoint deadline,
                       std::function<auto(bool confirmed)->void> done) -> void;

    /// Reports the result of hooks.sendAwait: the endpoint's position, or nothing on failure.
    /// Sends the next Await if waits remain; after a failure, the next expire() call sends it.
    auto awaitEnded(std::string_view group, std::string_view endpoint,
                    std::optional<Position> position) -> void;

    /// Ends the waits whose deadline has passed, and resends failed awaits. To be called
    /// every few tens of milliseconds while nextDeadline() returns a time.
    auto expire(TimePoint now) -> void;
    [[nodiscard]] auto nextDeadline() -> std::optional<TimePoint>;

private:
    using Effects = std::vector<std::function<auto()->void>>;

    static auto completeWaiters(detail::GroupProgress &progress, Effects &effects) -> void;
    auto sendAwaits(const std::string &group, detail::GroupProgress &progress, Effects &effects)
        -> void;

    ReplicationHooks hooks;
    RankedMutex mutex{LockRank::ReplicationTracker};
    std::map<std::string, detail::GroupProgress, std::less<>> groups ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
