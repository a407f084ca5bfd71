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
    bool failed = false;     ///< The last Await failed; expire() allows the next.
};

/// A write that waits for a majority.
struct MajorityWaiter
{
    std::uint64_t index = 0;
    TimePoint deadline;
    std::function<auto(bool confirmed)->void> done;
};

/// Progress of one group in its current term.
struct GroupProgress
{
    std::uint64_t term = 0;
    std::map<std::string, ReplicaProgress, std::less<>> endpoints;
    std::vector<MajorityWaiter> waiters;
};

} // namespace detail

/// Tells when a position is on a majority of its group. Only a position in the group's current term
/// counts: a later term's log need not contain the entries of an earlier one. Safe from any thread.
class ReplicationTracker
{
public:
    explicit ReplicationTracker(ReplicationHooks hooks);

    /// Sets the term and the endpoints of a group. A new term ends the waits of the old one
    /// unconfirmed. A lower term is ignored.
    auto setGroup(std::string_view group, std::uint64_t term,
                  const std::vector<std::string> &endpoints) -> void;

    /// Records what any answer of an endpoint says of its position.
    auto recordPosition(std::string_view group, std::string_view endpoint, Position position)
        -> void;

    /// Calls `done(true)` once `position` is on a majority; `done(false)` at the deadline, when the
    /// term is another one, or when the group is unknown.
    auto awaitMajority(std::string_view group, Position position, TimePoint deadline,
                       std::function<auto(bool confirmed)->void> done) -> void;

    /// Reports the end of hooks.sendAwait with the endpoint's position, or nothing on failure.
    /// Sends the next one when waits remain. After a failure it is sent by the next expire() call.
    auto awaitEnded(std::string_view group, std::string_view endpoint,
                    std::optional<Position> position) -> void;

    /// Ends the waits whose deadline has passed, and resends failed awaits. The daemon calls it
    /// every few tens of milliseconds while nextDeadline() names a time.
    auto expire(TimePoint now) -> void;
    [[nodiscard]] auto nextDeadline() -> std::optional<TimePoint>;

private:
    using Effects = std::vector<std::function<auto()->void>>;

    static auto settle(detail::GroupProgress &progress, Effects &effects) -> void;
    auto sendAwaits(const std::string &group, detail::GroupProgress &progress, Effects &effects)
        -> void;

    ReplicationHooks hooks;
    RankedMutex mutex{LockRank::ReplicationTracker};
    std::map<std::string, detail::GroupProgress, std::less<>> groups ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
