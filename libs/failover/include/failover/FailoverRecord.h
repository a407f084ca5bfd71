#ifndef AUBURNRAIL_FAILOVER_FAILOVERRECORD_H
#define AUBURNRAIL_FAILOVER_FAILOVERRECORD_H

#include <failover/EvidenceWait.h>
#include <failover/FailoverCause.h>
#include <failover/PhaseTime.h>
#include <failover/PromotionEvidence.h>

#include <core/Position.h>

#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Record of one failover, for `explain failover`.
struct FailoverRecord
{
    std::string group;
    FailoverCause cause = FailoverCause::Suspicion;
    std::string oldPrimary;
    std::string newPrimary;
    std::string requestedPrimary; ///< Planned promotion: the endpoint that was asked for.
    std::uint64_t term = 0;
    Position position; ///< Position of the chosen endpoint when it was fenced.
    std::optional<PromotionEvidence> lastPromotion; ///< The last order to become primary.
    std::optional<EvidenceWait> waiting;            ///< While it waits for evidence.
    /// From when nothing more could be acknowledged until there was a proof, over all terms; zero
    /// if no proof is needed.
    Duration evidenceWait{};
    bool completed = false;
    TimePoint endedAt;
    std::vector<PhaseTime> phases; ///< In order of time; beyond the limit the oldest are dropped.
    std::string note;              ///< For example why a new term was needed.
};

} // namespace auburnrail

#endif
