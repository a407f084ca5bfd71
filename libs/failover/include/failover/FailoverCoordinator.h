#ifndef AUBURNRAIL_FAILOVER_FAILOVERCOORDINATOR_H
#define AUBURNRAIL_FAILOVER_FAILOVERCOORDINATOR_H

#include <failover/FailoverGroup.h>
#include <failover/FailoverHooks.h>
#include <failover/FailoverLimits.h>
#include <failover/SuspicionTable.h>
#include <failover/detail/FailoverAttempt.h>

#include <core/RankedMutex.h>

#include <absl/status/status.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Orders failovers, planned promotions and the first promotion of a group; one lives on each
/// control member and acts while it leads. Decisions only: the caller passes the time, and effects
/// leave through hooks after the mutex is released. A step that fails or is not answered is
/// repeated with exponential delay. A term is used for at most one promotion target: when the
/// target does not answer, a fresh term is granted, because the target may be primary of the old
/// one. Safe from any thread. The object must outlive every `done` that it gave to a hook.
class FailoverCoordinator
{
public:
    FailoverCoordinator(const FailoverLimits &failoverLimits, FailoverHooks failoverHooks);

    /// Follows the fleet state, also while this member does not lead.
    auto groupChanged(const FailoverGroup &view, TimePoint now) -> void;
    auto groupRemoved(const std::string &group) -> void;

    /// Starts to act. Groups left in phase `fencing` are resumed with a fresh term, because the
    /// target that the earlier leader may have promoted is not known.
    auto beginLeadership(TimePoint now) -> void;
    auto endLeadership(TimePoint now) -> void;

    /// Takes the view of an entry that serves the group; each such entry reports with every
    /// heartbeat. Reports for another term than the group's are ignored. `suspectedFor`: how long
    /// it has not reached the primary, or nothing when the primary is healthy.
    auto reportSuspicion(const std::string &instance, const std::string &group, std::uint64_t term,
                         std::optional<Duration> suspectedFor, TimePoint now) -> void;

    /// Takes the term that an endpoint announced. One that missed the group's last failover is told
    /// to follow.
    auto endpointSeen(const std::string &group, const std::string &endpoint, std::uint64_t term)
        -> void;

    /// Starts a planned promotion; of equally advanced endpoints `target` is chosen.
    /// `kNotFound`: unknown group or endpoint; `kFailedPrecondition`: this member does not lead;
    /// `kAlreadyExists`: a failover of the group is under way.
    [[nodiscard]] auto promotePlanned(const std::string &group, const std::string &target,
                                      TimePoint now) -> absl::Status;

    /// Repeats due steps and starts failovers that are confirmed. To be called at least every 100
    /// ms.
    auto tick(TimePoint now) -> void;

    /// Phase of the group's failover.
    [[nodiscard]] auto phaseOf(const std::string &group) const -> FailoverPhase;

    /// Account of the failover under way.
    [[nodiscard]] auto currentRecord(const std::string &group) const
        -> std::optional<FailoverRecord>;

private:
    using Effects = std::vector<std::function<auto()->void>>;
    using Completion = std::function<auto(detail::FailoverAttempt &, Effects &)->void>;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto begin(const FailoverGroup &view, FailoverCause cause, const std::string &wanted,
               TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto beginDue(TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto enter(detail::FailoverAttempt &attempt, FailoverPhase phase, TimePoint now,
               Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto restart(detail::FailoverAttempt &attempt, std::uint64_t highestTerm,
                 const std::string &note, TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issue(detail::FailoverAttempt &attempt, TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issueGrant(detail::FailoverAttempt &attempt, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issueFences(detail::FailoverAttempt &attempt, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issuePromote(detail::FailoverAttempt &attempt, TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issuePublish(detail::FailoverAttempt &attempt, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto takeFence(detail::FailoverAttempt &attempt, const std::string &endpoint,
                   const FenceAnswer &answer, TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto promoteWhenReady(detail::FailoverAttempt &attempt, TimePoint now, Effects &effects)
        -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto finish(detail::FailoverAttempt &attempt, bool completed, TimePoint now, Effects &effects)
        -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto followAll(const FailoverGroup &view, Effects &) -> void;

    /// Runs `change` on the attempt when it is still the one that issued the step.
    auto complete(const std::string &group, std::uint64_t number, FailoverPhase phase,
                  const Completion &change) -> void;

    FailoverLimits limits;
    FailoverHooks hooks;
    mutable RankedMutex mutex{LockRank::Failover};
    bool leading ABSL_GUARDED_BY(mutex) = false;
    std::uint64_t lastNumber ABSL_GUARDED_BY(mutex) = 0;
    std::map<std::string, FailoverGroup, std::less<>> groups ABSL_GUARDED_BY(mutex);
    /// Groups without a primary, by the time of their last change.
    std::map<std::string, TimePoint, std::less<>> unserved ABSL_GUARDED_BY(mutex);
    std::map<std::string, detail::FailoverAttempt, std::less<>> attempts ABSL_GUARDED_BY(mutex);
    SuspicionTable suspicions ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
