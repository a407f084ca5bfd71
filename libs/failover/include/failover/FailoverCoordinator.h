#ifndef AUBURNRAIL_FAILOVER_FAILOVERCOORDINATOR_H
#define AUBURNRAIL_FAILOVER_FAILOVERCOORDINATOR_H

#include <failover/AcceptedLoss.h>
#include <failover/FailoverGroup.h>
#include <failover/FailoverHooks.h>
#include <failover/FailoverLimits.h>
#include <failover/ObservedPosition.h>
#include <failover/SuspicionTable.h>
#include <failover/detail/FailoverAttempt.h>
#include <failover/detail/PendingFollow.h>

#include <core/RankedMutex.h>

#include <absl/status/status.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace auburnrail {

/// Runs failovers, planned promotions and the first promotion of a group. Each control member has
/// one coordinator, which is active while that member leads. The class contains decisions only: the
/// caller passes the current time, and effects go through hooks that are called after the mutex is
/// released. A step that fails or gets no response is retried with exponential backoff. A term is
/// used for at most one promotion target: when the target does not respond, a new term is granted,
/// because the target may already be primary of the old one. The other endpoints are told to follow
/// until they confirm it, because a fenced replica receives nothing before. Thread-safe. The object
/// must outlive every `done` callback that it passed to a hook.
class FailoverCoordinator
{
public:
    FailoverCoordinator(const FailoverLimits &failoverLimits, FailoverHooks failoverHooks);

    /// Must be called for every change of a group in the fleet state, also while this member does
    /// not lead.
    auto groupChanged(const FailoverGroup &view, TimePoint now) -> void;
    auto groupRemoved(const std::string &group) -> void;

    /// Activates the coordinator. Failovers of groups in phase `fencing` are resumed with a new
    /// term, because the target that the earlier leader may have promoted is unknown. Endpoints of
    /// groups that have had a failover are told to follow, because the earlier leader may not have
    /// done so.
    auto beginLeadership(TimePoint now) -> void;
    auto endLeadership(TimePoint now) -> void;

    /// Handles the report of an entry that serves the group; each such entry reports with every
    /// heartbeat. Reports for a term other than the group's are ignored. `suspectedFor`: for how
    /// long the entry has not reached the primary, or nothing when the primary is healthy. True if
    /// it is the first report against this primary: the others have `confirmationDelay` to report.
    auto reportSuspicion(const std::string &instance, const std::string &group, std::uint64_t term,
                         std::optional<Duration> suspectedFor, TimePoint now) -> bool;

    /// Handles the final report of an entry on a group whose primary is being replaced: it has
    /// acknowledged nothing beyond `position` in terms before `term`, and will not. `observed`:
    /// what the primary that is being replaced has named to it.
    auto reportAcknowledged(const LeaseId &holder, const std::string &group, std::uint64_t term,
                            Position position, const std::vector<ObservedPosition> &observed,
                            TimePoint now) -> void;

    /// Whether a failover waits for such reports.
    [[nodiscard]] auto awaitsReports() const -> bool;

    /// Handles the term that an endpoint announced. An endpoint that missed the group's last
    /// failover is told to follow the primary.
    auto endpointSeen(const std::string &group, const std::string &endpoint, std::uint64_t term)
        -> void;

    /// Must be called when a process of an endpoint has announced itself: a failover that waits for
    /// the endpoint asks it with the next tick. The registered process is known to run still.
    auto endpointAnnounced(const std::string &group, const EndpointProcess &process, TimePoint now)
        -> void;

    /// Starts a planned promotion. `target` is chosen among equally advanced endpoints.
    /// `kNotFound`: unknown group or endpoint; `kFailedPrecondition`: this member does not lead;
    /// `kAlreadyExists`: a failover of the group is in progress; `kUnavailable`: the last planned
    /// promotion left the old primary in place, less than FailoverLimits::plannedRetryDelay ago.
    [[nodiscard]] auto promotePlanned(const std::string &group, const std::string &target,
                                      TimePoint now) -> absl::Status;

    /// Takes an operator's decision to promote the endpoint, fenced at `position`, although its log
    /// may lack acknowledged writes. Holds for the term in progress. `kFailedPrecondition`: no
    /// failover of the group waits for evidence; `kNotFound`: the endpoint isn't fenced;
    /// `kAborted`: it is fenced at another position.
    [[nodiscard]] auto acceptLoss(const std::string &group, const AcceptedLoss &loss, TimePoint now)
        -> absl::Status;

    /// What a failover that waits for evidence has so far; nothing if none of the group does.
    [[nodiscard]] auto waitingEvidence(const std::string &group, TimePoint now) const
        -> std::optional<PromotionEvidence>;

    /// Number of groups whose failover waits for evidence, and has been reported to do so.
    [[nodiscard]] auto waitingGroups() const -> std::size_t;

    /// Retries steps that are due and starts confirmed failovers. Must be called at least every
    /// 100 ms.
    auto tick(TimePoint now) -> void;

    /// Phase of the group's failover; `Watching` when none is in progress.
    [[nodiscard]] auto phaseOf(const std::string &group) const -> FailoverPhase;

    /// Record of the failover in progress, if there is one.
    [[nodiscard]] auto currentRecord(const std::string &group) const
        -> std::optional<FailoverRecord>;

private:
    using Effects = std::vector<std::function<auto()->void>>;
    using FenceDone = std::function<auto(std::optional<FenceResponse>, TimePoint)->void>;
    using Completion = std::function<auto(detail::FailoverAttempt &, Effects &)->void>;

    /// An attempt whose time to promote may have come.
    struct WaitingAttempt
    {
        std::string group;
        std::uint64_t attemptId = 0;
        Revision revision = 0;
        std::optional<TimePoint> confirmedAt;
        bool needsCensus = false; ///< The acknowledged position is needed and not known yet.
    };

    /// An attempt in the term for which it sends orders.
    struct AttemptTerm
    {
        std::string group;
        std::uint64_t attemptId = 0;
        std::uint64_t term = 0;
    };

    auto checkWaiting(const WaitingAttempt &waiting, TimePoint now) -> void;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto startFailover(const FailoverGroup &view, FailoverCause cause, const std::string &requested,
                       TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto startDueFailovers(TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto enterPhase(detail::FailoverAttempt &attempt, FailoverPhase phase, TimePoint now,
                    Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto restartWithNewTerm(detail::FailoverAttempt &attempt, std::uint64_t highestTerm,
                            const std::string &note, TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issueStep(detail::FailoverAttempt &attempt, TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issueGrant(detail::FailoverAttempt &attempt, Effects &effects) -> void;
    [[nodiscard]] auto leaseCensus(TimePoint now) const -> std::optional<LeaseCensus>;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto grantRefused(detail::FailoverAttempt &attempt, TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issueFences(detail::FailoverAttempt &attempt, TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issuePromote(detail::FailoverAttempt &attempt, TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issuePublish(detail::FailoverAttempt &attempt, TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto handleFenceResponse(detail::FailoverAttempt &attempt, const std::string &endpoint,
                             const FenceResponse &response, TimePoint now, Effects &effects)
        -> void;
    /// Reads the position of an endpoint that still leads, and leaves its role; fences another one.
    auto inspectOrFence(const GroupEndpoint &endpoint, const AttemptTerm &attempt,
                        const FenceDone &done) -> void;
    [[nodiscard]] auto isFencing(const AttemptTerm &attempt) const -> bool;
    /// Goes on to the next phase if what is fenced allows it.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto advanceWhenFenced(detail::FailoverAttempt &attempt, TimePoint now, Effects &effects)
        -> void;
    /// Asks the chosen endpoint what has become of an order before it is repeated.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issueInspection(const detail::FailoverAttempt &attempt, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto handleInspection(detail::FailoverAttempt &attempt,
                          const std::optional<EndpointInspection> &inspection, TimePoint now,
                          Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto orderPromotion(detail::FailoverAttempt &attempt, TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto entriesConfirmed(detail::FailoverAttempt &attempt,
                          const std::optional<LeaseCensus> &leases, TimePoint now) -> void;
    /// Has the acknowledged position committed once it is known in the attempt's term.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto keepAcknowledged(detail::FailoverAttempt &attempt, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto promoteWhenReady(detail::FailoverAttempt &attempt, TimePoint now, Effects &effects)
        -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto updateEvidenceWait(detail::FailoverAttempt &attempt, TimePoint now, Effects &effects)
        -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto reportEvidenceWait(const detail::FailoverAttempt &attempt, EvidenceWaitStage stage,
                            TimePoint since, TimePoint now, Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto finishAttempt(detail::FailoverAttempt &attempt, bool completed, TimePoint now,
                       Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto followAll(const FailoverGroup &view, TimePoint now) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto dropFollows(const std::string &group) -> void;
    /// Sends the orders that are due, and drops those that a change of the group has made outdated.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto issueFollows(TimePoint now, Effects &effects) -> void;
    auto followEnded(const std::pair<std::string, std::string> &key, std::uint64_t term,
                     bool isConfirmed, TimePoint now) -> void;

    /// Runs `change` on the group's attempt if it is still the attempt, and in the phase, that
    /// issued the step. Otherwise the completion is outdated and ignored.
    auto completeStep(const std::string &group, std::uint64_t attemptId, FailoverPhase phase,
                      const Completion &change) -> void;

    FailoverLimits limits;
    FailoverHooks hooks;
    mutable RankedMutex mutex{LockRank::Failover};
    bool leading ABSL_GUARDED_BY(mutex) = false;
    std::uint64_t lastAttemptId ABSL_GUARDED_BY(mutex) = 0;
    std::map<std::string, FailoverGroup, std::less<>> groups ABSL_GUARDED_BY(mutex);
    /// Groups in phase `fencing` or without a primary, with the time of their last change.
    std::map<std::string, TimePoint, std::less<>> unserved ABSL_GUARDED_BY(mutex);
    std::map<std::string, detail::FailoverAttempt, std::less<>> attempts ABSL_GUARDED_BY(mutex);
    /// Groups whose last planned promotion left the old primary in place, with the time of the
    /// next.
    std::map<std::string, TimePoint, std::less<>> plannedNotBefore ABSL_GUARDED_BY(mutex);
    /// By group and endpoint.
    std::map<std::pair<std::string, std::string>, detail::PendingFollow>
        follows ABSL_GUARDED_BY(mutex);
    SuspicionTable suspicions ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
