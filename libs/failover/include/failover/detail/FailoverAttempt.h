#ifndef AUBURNRAIL_FAILOVER_DETAIL_FAILOVERATTEMPT_H
#define AUBURNRAIL_FAILOVER_DETAIL_FAILOVERATTEMPT_H

#include <failover/AcceptedLoss.h>
#include <failover/FailoverGroup.h>
#include <failover/FailoverLimits.h>
#include <failover/FailoverRecord.h>
#include <failover/FenceResponse.h>
#include <failover/PromotionEvidence.h>
#include <failover/PromotionProof.h>
#include <failover/detail/AcknowledgedPosition.h>
#include <failover/detail/EvidenceWatch.h>

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
    std::uint64_t keptIn = 0; ///< Last term in which `acknowledged` was given to the fleet state.
    EvidenceWatch evidenceWatch;
    std::optional<AcceptedLoss> acceptedLoss; ///< Holds for this term.
    std::map<std::string, FenceResponse, std::less<>> fences;
    std::map<std::string, TimePoint, std::less<>> fencedAt; ///< When the responses were received.
    /// When the registered processes last announced themselves.
    std::map<std::string, TimePoint, std::less<>> heardAt;
    /// Endpoints of the project's own protocol say with their fence that they have lost their log.
    bool declaresLostLogs = false;
    std::set<std::string, std::less<>> ordered; ///< Endpoints that were ordered to become primary.
    bool isConfirmed = false; ///< The order of this term was answered, and the endpoint led.
    std::set<std::string, std::less<>> leaders; ///< Endpoints that led when they were asked.
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

    /// Why the acknowledged position isn't known.
    [[nodiscard]] auto acknowledgedGap() const -> AcknowledgedGap;

    /// Whether a promotion needs a proof about logs.
    [[nodiscard]] auto needsProof() const -> bool;

    /// Whether the endpoint is gone and a fenced one at its address has the log that it left.
    [[nodiscard]] auto isSucceeded(const GroupEndpoint &endpoint) const -> bool;

    /// Whether a majority of the endpoints that aren't succeeded accepted the fence. Endpoints that
    /// are rebuilding count only if the group never had a primary.
    [[nodiscard]] auto hasMajority() const -> bool;

    /// Whether a majority is fenced; with synchronous replicas an endpoint that may be promoted is
    /// enough.
    [[nodiscard]] auto hasEnoughFences() const -> bool;

    /// Whether the old primary accepted the fence, is succeeded, or there was none. It may have
    /// lost its log; see oldPrimaryLog().
    [[nodiscard]] auto isOldPrimaryFenced() const -> bool;

    /// The end of the log that the old primary had, read from its process or from the one that has
    /// taken its log over. Nothing if no fenced endpoint is known to have that log.
    [[nodiscard]] auto oldPrimaryLog() const -> std::optional<Position>;

    /// Whether the registered process is the one that was fenced: it has announced itself since.
    /// Another one under its name would have announced a later start.
    [[nodiscard]] auto isIdentified(const GroupEndpoint &endpoint) const -> bool;

    /// The end of the longest log of all processes that may have confirmed a commit, the old
    /// primary's aside. Each acknowledged commit is at or before it. Nothing if one of the
    /// processes is gone, isn't fenced, or isn't known to be the one that was fenced.
    [[nodiscard]] auto replicaLogs() const -> std::optional<Position>;

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

    /// What shows that the endpoint may be promoted.
    [[nodiscard]] auto proofOf(const std::string &endpoint) const -> PromotionProof;

    /// Whether an endpoint may be promoted.
    [[nodiscard]] auto hasProof() const -> bool;

    /// Whether no endpoint other than the old primary is known to have every acknowledged write.
    [[nodiscard]] auto isOldPrimaryNeeded() const -> bool;

    /// Whether the endpoint, if it still leads, may become primary of the new term without a step
    /// down: with synchronous replicas nothing is acknowledged meanwhile. An earlier order to
    /// another endpoint that is still on its way excludes it, since the new term doesn't shut that
    /// out.
    [[nodiscard]] auto mayAdopt(const GroupEndpoint &endpoint) const -> bool;

    /// Whether an order to another endpoint may still take effect. Only an answered order of this
    /// term shuts it out.
    [[nodiscard]] auto mayOthersLead() const -> bool;

    /// Whether an order to become primary was sent in this term.
    [[nodiscard]] auto isOrdered() const -> bool;

    /// Whether the chosen endpoint, whose log ends at `position` now, has what it had when it was
    /// fenced. Numbers never fall, while an empty log may name a later term.
    [[nodiscard]] auto hasKeptLog(const Position &position) const -> bool;

    /// Whether endpoints are being fenced, or a promotion waits for what their fences show.
    [[nodiscard]] auto isFencing() const -> bool;

    /// Whether the endpoint is to be fenced and hasn't been yet.
    [[nodiscard]] auto isAwaited(const std::string &endpoint) const -> bool;

    /// Whether nothing but the lack of a proof keeps the group without a primary.
    [[nodiscard]] auto awaitsEvidence(const FailoverLimits &limits, TimePoint now) const -> bool;

    /// Whether a response that is still on its way may make a better choice.
    [[nodiscard]] auto awaitsBetterChoice(const FailoverLimits &limits, TimePoint now) const
        -> bool;

    /// Whether the fenced old primary has entries that no fenced replica has.
    [[nodiscard]] auto isOldPrimaryAhead() const -> bool;

    /// The most advanced endpoint that may be promoted; if none may, the most advanced one. With
    /// synchronous replicas the old primary comes last. Among equally advanced endpoints, one that
    /// is not leaving comes first, then the requested one, then the old primary.
    [[nodiscard]] auto mostAdvanced() const -> GroupEndpoint;

    /// Planned promotion: whether the requested endpoint has not responded or lacks entries that
    /// the most advanced one has.
    [[nodiscard]] auto isRequestedPrimaryBehind() const -> bool;
};

} // namespace auburnrail::detail

#endif
