#ifndef AUBURNRAIL_FAILOVER_EVIDENCEWAIT_H
#define AUBURNRAIL_FAILOVER_EVIDENCEWAIT_H

#include <failover/EvidenceWaitStage.h>
#include <failover/PromotionEvidence.h>

#include <core/Time.h>

namespace auburnrail {

/// A failover that waits, or has waited, for evidence that lets it promote an endpoint.
struct EvidenceWait
{
    EvidenceWaitStage stage = EvidenceWaitStage::Began;
    /// What there is at the time of `stage`. Its `endpoint` and `proof` are set when the wait has
    /// ended with a proof.
    PromotionEvidence evidence;
    TimePoint since;   ///< Since when only evidence is missing.
    Duration waited{}; ///< Over all terms of the failover.
};

} // namespace auburnrail

#endif
