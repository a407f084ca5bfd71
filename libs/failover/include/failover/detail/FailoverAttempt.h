#ifndef AUBURNRAIL_FAILOVER_DETAIL_FAILOVERATTEMPT_H
#define AUBURNRAIL_FAILOVER_DETAIL_FAILOVERATTEMPT_H

#include <failover/FailoverGroup.h>
#include <failover/FailoverLimits.h>
#include <failover/FailoverRecord.h>
#include <failover/FenceAnswer.h>

#include <core/Revision.h>

#include <map>
#include <string>

namespace auburnrail::detail {

/// State of one failover under way. `record.term` is the term that it tries to establish.
struct FailoverAttempt
{
    std::uint64_t number = 0; ///< Changes with each term; completions of earlier terms are dropped.
    FailoverGroup view;       ///< The group when the term was chosen.
    FailoverPhase phase = FailoverPhase::GrantingTerm;
    FailoverRecord record;
    Revision revision = 0;     ///< Of the grant.
    bool oldTermEnded = false; ///< No entry can acknowledge for the old term.
    std::map<std::string, FenceAnswer, std::less<>> fences;
    GroupEndpoint chosen;
    std::size_t tries = 0; ///< Of the current phase.
    TimePoint nextTryAt;

    [[nodiscard]] auto hasMajority() const -> bool;

    /// True when the old primary accepted the fence, or there was none.
    [[nodiscard]] auto isOldPrimaryFenced() const -> bool;

    /// The most advanced endpoint; of equal ones the wanted, then the old primary, then by name.
    /// Every endpoint but the old primary is fenced.
    [[nodiscard]] auto areReplicasFenced() const -> bool;

    /// The fenced endpoints together hold every acknowledged write of a group with synchronous
    /// replicas.
    [[nodiscard]] auto holdsEveryWrite() const -> bool;

    [[nodiscard]] auto mostAdvanced() const -> GroupEndpoint;

    /// Planned: the wanted endpoint has not answered or lacks entries of the most advanced one.
    [[nodiscard]] auto isWantedBehind() const -> bool;

    /// Time until the next try after a failure.
    [[nodiscard]] auto retryDelay(const FailoverLimits &limits) const -> Duration;
};

} // namespace auburnrail::detail

#endif
