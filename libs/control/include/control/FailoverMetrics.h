#ifndef AUBURNRAIL_CONTROL_FAILOVERMETRICS_H
#define AUBURNRAIL_CONTROL_FAILOVERMETRICS_H

#include <control/AcknowledgedCheck.h>
#include <control/FailoverOutcome.h>
#include <control/LossDecision.h>
#include <control/PromotionOutcome.h>

#include <failover/FailoverRecord.h>
#include <observe/EnumCounters.h>

#include <array>

namespace auburnrail {

/// Counters and distributions of the failovers of one control member. Every series is registered at
/// once, so that none of them is lost to the limit later. Safe from any thread.
class FailoverMetrics
{
public:
    /// `registry` must outlive this object.
    explicit FailoverMetrics(Metrics &registry);

    /// Counts a failover that ended, its terms and its phases. Terms and phases that the record no
    /// longer holds are missing.
    auto countFailover(const FailoverRecord &record) -> void;

    /// Counts a promotion when it is ordered.
    auto countOrdered(const PromotionEvidence &evidence) -> void;

    /// Counts an operator's decision to accept a loss.
    auto countDecision(LossDecision decision) -> void;

    /// Counts a promotion when its outcome is known.
    auto countOutcome(PromotionOutcome outcome) -> void;

private:
    template <typename E>
    using Ids = std::array<MetricId, ENUM_NAMES<E>.size()>;

    Metrics &metrics;
    std::array<Ids<FailoverOutcome>, ENUM_NAMES<FailoverCause>.size()> failovers;
    Ids<FailoverPhase> phaseSeconds;
    Ids<PromotionProof> proofs;
    MetricId terms;
    MetricId evidenceWait;
    MetricId unproved;
    EnumCounters<AcknowledgedCheck> ordered;
    EnumCounters<LossDecision> decisions;
    EnumCounters<PromotionOutcome> outcomes;
};

} // namespace auburnrail

#endif
