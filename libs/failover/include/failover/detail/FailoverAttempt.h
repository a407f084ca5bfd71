#ifndef AUBURNRAIL_FAILOVER_DETAIL_FAILOVERATTEMPT_H
#define AUBURNRAIL_FAILOVER_DETAIL_FAILOVERATTEMPT_H

#include <failover/FailoverGroup.h>
#include <failover/FailoverLimits.h>
#include <failover/FailoverRecord.h>
#include <failover/FenceResponse.h>

#include <core/Revision.h>

#include <map>
#include <string>

namespace auburnrail::detail {

/// State of a failover in progress. `record.term` is the term that it tries to establish.
struct FailoverAttempt
{
    std::uint64_t id = 0; ///< Changes with each term; completions of earlier terms are ignored.
    FailoverGroup view;   ///< The group at the time when the term was chosen.
    FailoverPhase phase = FailoverPhase::GrantingTerm;
    FailoverRecord record;
    Revision revision = 0;     ///< Revision of the change that granted the term.
    bool oldTermEnded = false; ///< No entry can acknowledge writes of the old term.
    std::map<std::string, FenceResponse, std::less<>> fences;
    GroupEndpoint chosen;
    std::size_t tries = 0; ///< Number of tries of the current phase's step.
    TimePoint nextTryAt;

    /// Whether a majority of the endpoints accepted the fence. Endpoints that are rebuilding count
    /// only if the group never had a primary.
    [[nodiscard]] auto hasMajority() const -> bool;

    /// Whether the old primary accepted the fence, or there was none.
    [[nodiscard]] auto isOldPrimaryFenced() const -> bool;

    /// Whether every endpoint other than the old primary is fenced.
    [[nodiscard]] auto areReplicasFenced() const -> bool;

    /// Whether the fenced endpoints together hold every acknowledged write, in a group with
    /// synchronous replicas. Always true in other groups.
    [[nodiscard]] auto holdsEveryWrite() const -> bool;

    /// The most advanced endpoint. Among equally advanced endpoints, one that is not leaving comes
    /// first, then the requested one, then the old primary.
    [[nodiscard]] auto mostAdvanced() const -> GroupEndpoint;

    /// Planned promotion: whether the requested endpoint has not responded or lacks entries that
    /// the most advanced one has.
    [[nodiscard]] auto isRequestedPrimaryBehind() const -> bool;

    /// Delay of the next try after a failure.
    [[nodiscard]] auto retryDelay(const FailoverLimits &limits) const -> Duration;
};

} // namespace auburnrail::detail

#endif
