#ifndef AUBURNRAIL_FAILOVER_DETAIL_FAILOVERATTEMPT_H
#define AUBURNRAIL_FAILOVER_DETAIL_FAILOVERATTEMPT_H

#include <failover/FailoverGroup.h>
#include <failover/FailoverLimits.h>
#include <failover/FailoverRecord.h>
#include <failover/FenceResponse.h>
#include <failover/PromotionEvidence.h>
#include <failover/detail/AcknowledgedPosition.h>

#include <core/Revision.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace auburnrail::detail {

/// State of a failover in progress. `record.term` is the term that it tries to establish.
struct FailoverAttempt
{
    std::uint64_t id = 0; ///< Changes with each term; completions of earlier terms are ignored.
    FailoverGroup view;   ///< The group at the time when the term was chosen.
    /// Reports on what was acknowledged before this term, or a later one, are final.
    std::uint64_t firstTerm = 0;
    FailoverPhase phase = FailoverPhase::GrantingTerm;
    FailoverRecord record;
    Revision revision = 0; ///< Revision of the change that granted the term.
    /// Since when no live lease names a revision before the new term; see hasOldTermEnded(). Stays
    /// when a further term is needed, unless a primary may have been published meanwhile.
    std::optional<TimePoint> confirmedAt;
    AcknowledgedPosition acknowledged;
    bool oldPrimaryFailed = false; ///< The old primary did not confirm a promotion of this attempt.
    std::map<std::string, FenceResponse, std::less<>> fences;
    std::map<std::string, TimePoint, std::less<>> fencedAt; ///< When the responses were received.
    /// A replica was removed before it was fenced: it may have had what the others lack.
    bool hasLostReplica = false;
    /// Endpoints whose process has ended. A process doesn't come back, so further terms keep them.
    std::set<std::string, std::less<>> gone;
    GroupEndpoint chosen;
    std::size_t tries = 0; ///< Number of tries of the current phase's step.
    TimePoint nextTryAt;

    /// Takes over the group's present members. What a process said that has ended since is dropped.
    /// Returns whether a process is new.
    auto updateMembers(const std::vector<GroupEndpoint> &members) -> bool;

    /// What the promotion of the chosen endpoint relies on.
    [[nodiscard]] auto evidence(TimePoint now) const -> PromotionEvidence;

    /// Whether the endpoint is gone and a fenced one at its address has the log that it left.
    [[nodiscard]] auto isSucceeded(const GroupEndpoint &endpoint) const -> bool;

    /// Whether a majority of the endpoints that aren't succeeded accepted the fence. Endpoints that
    /// are rebuilding count only if the group never had a primary.
    [[nodiscard]] auto hasMajority() const -> bool;

    /// Whether the old primary accepted the fence, is succeeded, or there was none.
    [[nodiscard]] auto isOldPrimaryFenced() const -> bool;

    /// Whether every endpoint other than the old primary is fenced or succeeded.
    [[nodiscard]] auto areReplicasFenced() const -> bool;

    /// Whether no entry acknowledges writes of the old term any more. This lasts, whatever happens
    /// to the endpoints afterwards.
    [[nodiscard]] auto hasOldTermEnded(const FailoverLimits &limits, TimePoint now) const -> bool;

    /// Whether endpoints may be fenced. With synchronous replicas only when nothing more is
    /// acknowledged: a position that is read before may have changed when the promotion that rests
    /// on it takes effect, since a restart or a late order undoes a fence.
    [[nodiscard]] auto mayFence(const FailoverLimits &limits, TimePoint now) const -> bool;

    /// Whether the endpoint is fenced and has everything that was acknowledged, as far as known.
    [[nodiscard]] auto isHolder(const std::string &endpoint) const -> bool;

    /// Whether the acknowledged position is known and an endpoint other than `except` has it.
    [[nodiscard]] auto hasHolder(const std::string &except = {}) const -> bool;

    /// Whether nothing more has been acknowledged for FailoverLimits::holderWait.
    [[nodiscard]] auto hasWaitedForHolder(const FailoverLimits &limits, TimePoint now) const
        -> bool;

    /// Whether the fenced endpoints together hold every acknowledged write, in a group with
    /// synchronous replicas. Always true in other groups.
    [[nodiscard]] auto holdsEveryWrite(const FailoverLimits &limits, TimePoint now) const -> bool;

    /// Whether a response that is still on its way may make a better choice.
    [[nodiscard]] auto awaitsBetterChoice(const FailoverLimits &limits, TimePoint now) const
        -> bool;

    /// Whether the fenced old primary has entries that no fenced replica has.
    [[nodiscard]] auto isOldPrimaryAhead() const -> bool;

    /// Whether the old primary may become primary again. With synchronous replicas it may if not
    /// all replicas are fenced, or if it is ahead of them and nobody knows what was acknowledged: a
    /// replica that is not registered, or that has left, may have confirmed what the others lack.
    [[nodiscard]] auto mayKeepOldPrimary() const -> bool;

    /// The most advanced endpoint that may become primary. Among equally advanced endpoints, one
    /// that is not leaving comes first, then the requested one, then the old primary.
    [[nodiscard]] auto mostAdvanced() const -> GroupEndpoint;

    /// Planned promotion: whether the requested endpoint has not responded or lacks entries that
    /// the most advanced one has.
    [[nodiscard]] auto isRequestedPrimaryBehind() const -> bool;
};

} // namespace auburnrail::detail

#endif
