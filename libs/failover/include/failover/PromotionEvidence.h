#ifndef AUBURNRAIL_FAILOVER_PROMOTIONEVIDENCE_H
#define AUBURNRAIL_FAILOVER_PROMOTIONEVIDENCE_H

#include <failover/AcknowledgedGap.h>
#include <failover/FailoverCause.h>
#include <failover/FenceEvidence.h>
#include <failover/PromotionProof.h>

#include <core/Time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// What a promotion relies on at the time when it is ordered.
struct PromotionEvidence
{
    std::string group;
    std::uint64_t term = 0;
    FailoverCause cause = FailoverCause::Suspicion;
    std::string endpoint; ///< The one that is promoted.
    std::string oldPrimary;
    std::uint32_t synchronousReplicas = 0;
    std::size_t tries = 0; ///< Orders in this term, with this one.
    TimePoint orderedAt;
    /// Since when every live lease names the term; nothing if that isn't so.
    std::optional<TimePoint> leasesConfirmedAt;
    /// Highest position that entries have acknowledged; nothing if that isn't known.
    std::optional<Position> acknowledged;
    AcknowledgedGap acknowledgedGap = AcknowledgedGap::None; ///< Why that isn't known.
    Position acknowledgedAtLeast;                ///< What was acknowledged reaches at least this.
    PromotionProof proof = PromotionProof::None; ///< Why the endpoint may be promoted.
    std::vector<FenceEvidence> fenced;           ///< The endpoints that were compared.
    std::vector<std::string> notFenced;          ///< Members that were not.
    /// Fenced members whose process hasn't announced itself since: another one may have answered.
    std::vector<std::string> unidentified;
    /// Processes that may have confirmed commits and can't be asked any more.
    std::vector<std::string> ended;
    bool areProcessesKnown = false; ///< Whether no other process can have confirmed one.
};

} // namespace auburnrail

#endif
