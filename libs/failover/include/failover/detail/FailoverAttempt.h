#ifndef AUBURNRAIL_FAILOVER_DETAIL_FAILOVERATTEMPT_H
#define AUBURNRAIL_FAILOVER_DETAIL_FAILOVERATTEMPT_H

#include <failover/FailoverGroup.h>
#include <failover/FailoverLimits.h>
#include <failover/FailoverRecord.h>
#include <failover/FenceResponse.h>
#include <failover/PromotionEvidence.h>

#include <core/Revision.h>

#include <map>
#include <optional>
#include <string>

namespace auburnrail::detail {

/// State of a failover in progress. `record.term` is the term that it tries to establish.
struct FailoverAttempt
{
    std::uint64_t id = 0; ///< Changes with each term; completions of earlier terms are ignored.
    FailoverGroup view;   ///< The group at the time when the term was chosen.
    FailoverPhase phase = FailoverPhase::GrantingTerm;
    FailoverRecord record;
    Revision revision = 0; ///< Revision of the change that granted the term.
    /// Since when no live lease names a revision before the new term; see hasOldTermEnded().
    std::optional<TimePoint> confirmedAt;
    bool oldPrimaryFailed = false; ///< The old primary did not confirm a promotion of this attempt.
    std::map<std::string, FenceResponse, std::less<>> fences;
    std::map<std::string, TimePoint, std::less<>> fencedAt; ///< When the responses were received.
    GroupEndpoint chosen;
    std::size_t tries = 0; ///< Number of tries of the current phase's step.
    TimePoint nextTryAt;

    /// What the promotion of the chosen endpoint relies on.
    [[nodiscard]] auto evidence(TimePoint now) const -> PromotionEvidence;

    /// Whether a majority of the endpoints accepted the fence. Endpoints that are rebuilding count
    /// only if the group never had a primary.
    [[nodiscard]] auto hasMajority() const -> bool;

    /// Whether the old primary accepted the fence, or there was none.
    [[nodiscard]] auto isOldPrimaryFenced() const -> bool;

    /// Whether every endpoint other than the old primary is fenced.
    [[nodiscard]] auto areReplicasFenced() const -> bool;

    /// Whether no entry acknowledges writes of the old term any more.
    [[nodiscard]] auto hasOldTermEnded(const FailoverLimits &limits, TimePoint now) const -> bool;

    /// Whether the old primary may be fenced. With synchronous replicas it goes on for a short
    /// time, so that the entries learn of the new term and the replicas receive what was
    /// acknowledged.
    [[nodiscard]] auto mayFenceOldPrimary(const FailoverLimits &limits, TimePoint now) const
        -> bool;

    /// Whether replicas may be fenced. With synchronous replicas only when nothing more can be
    /// acknowledged: a replica that is not registered may confirm writes to the old primary while
    /// the fenced ones receive nothing.
    [[nodiscard]] auto mayFenceReplicas(const FailoverLimits &limits, TimePoint now) const -> bool;

    /// Whether the fenced endpoints together hold every acknowledged write, in a group with
    /// synchronous replicas. Always true in other groups.
    [[nodiscard]] auto holdsEveryWrite() const -> bool;

    /// Whether the fenced old primary has entries that no fenced replica has.
    [[nodiscard]] auto isOldPrimaryAhead() const -> bool;

    /// Whether the old primary may become primary again. With synchronous replicas it may if not
    /// all replicas are fenced, or if it is ahead of them and was not suspected: a replica that is
    /// not registered may have confirmed the entries that the others lack.
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
