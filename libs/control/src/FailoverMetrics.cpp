#include <control/FailoverMetrics.h>

#include <control/PromotionVerdict.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

namespace auburnrail {

namespace {

template <typename E>
auto indexOf(E value) -> std::size_t
{
    return static_cast<std::size_t>(value);
}

/// A term that was granted is one that was fenced for.
auto grantedTerms(const FailoverRecord &record) -> std::size_t
{
    const auto granted =
        std::count_if(record.phases.begin(), record.phases.end(),
                      [](const PhaseTime &time) { return time.phase == FailoverPhase::Fencing; });
    return static_cast<std::size_t>(granted);
}

auto phaseLengths(const FailoverRecord &record) -> std::map<FailoverPhase, Duration>
{
    auto lengths = std::map<FailoverPhase, Duration>();
    for (auto index = std::size_t(0); index < record.phases.size(); ++index) {
        const auto isLast = index + 1 == record.phases.size();
        const auto end = isLast ? record.endedAt : record.phases[index + 1].startedAt;
        lengths[record.phases[index].phase] += end - record.phases[index].startedAt;
    }
    return lengths;
}

} // namespace

FailoverMetrics::FailoverMetrics(Metrics &registry)
    : metrics(registry)
    , terms(registry.series(MetricKind::Distribution, "auburnrail_failover_terms",
                            "Terms granted by a failover that ended."))
    , evidenceWait(registry.series(
          MetricKind::Distribution, "auburnrail_failover_evidence_wait_seconds",
          "Time for which a failover that ended had no proof though nothing more could be "
          "acknowledged; failovers that need no proof are left out."))
    , unproved(registry.series(MetricKind::Counter, "auburnrail_promotions_unproved_total",
                               "Promotions ordered without a proof or an operator's decision; "
                               "always 0."))
    , ordered(registry, "auburnrail_promotions_ordered_total",
              "Promotions ordered, by whether the endpoint has what was acknowledged.")
    , decisions(registry, "auburnrail_loss_decisions_total",
                "Decisions of operators to accept a loss, by outcome.")
    , outcomes(registry, "auburnrail_promotion_orders_total",
               "Promotions ordered whose outcome is known, by outcome.")
{
    for (const auto &cause : ENUM_NAMES<FailoverCause>) {
        for (const auto &outcome : ENUM_NAMES<FailoverOutcome>)
            this->failovers.at(indexOf(cause.value)).at(indexOf(outcome.value)) = registry.series(
                MetricKind::Counter, "auburnrail_failovers_total",
                "Failovers that ended, by cause and outcome.",
                {{"cause", std::string(cause.name)}, {"outcome", std::string(outcome.name)}});
    }
    for (const auto &proof : ENUM_NAMES<PromotionProof>)
        this->proofs.at(indexOf(proof.value)) =
            registry.series(MetricKind::Counter, "auburnrail_promotions_by_proof_total",
                            "Promotions ordered, by what shows that the endpoint may be promoted.",
                            {{"proof", std::string(proof.name)}});
    for (const auto &phase : ENUM_NAMES<FailoverPhase>) {
        if (phase.value != FailoverPhase::Watching)
            this->phaseSeconds.at(indexOf(phase.value)) = registry.series(
                MetricKind::Distribution, "auburnrail_failover_phase_seconds",
                "Time that a failover that ended has spent in the phase, over all its terms.",
                {{"phase", std::string(phase.name)}});
    }
}

auto FailoverMetrics::countFailover(const FailoverRecord &record) -> void
{
    this->metrics.add(
        this->failovers.at(indexOf(record.cause)).at(indexOf(failoverOutcome(record))));
    this->metrics.record(this->terms, static_cast<double>(grantedTerms(record)));
    if (record.evidenceWait > Duration::zero())
        this->metrics.record(this->evidenceWait,
                             std::chrono::duration<double>(record.evidenceWait).count());
    for (const auto &[phase, length] : phaseLengths(record)) {
        if (phase != FailoverPhase::Watching)
            this->metrics.record(this->phaseSeconds.at(indexOf(phase)),
                                 std::chrono::duration<double>(length).count());
    }
}

auto FailoverMetrics::countOrdered(const PromotionEvidence &evidence) -> void
{
    this->ordered.add(checkAcknowledged(evidence));
    this->metrics.add(this->proofs.at(indexOf(evidence.proof)));
    if (judgePromotion(evidence) == PromotionVerdict::Unproved)
        this->metrics.add(this->unproved);
}

auto FailoverMetrics::countDecision(LossDecision decision) -> void
{
    this->decisions.add(decision);
}

auto FailoverMetrics::countOutcome(PromotionOutcome outcome) -> void
{
    this->outcomes.add(outcome);
}

} // namespace auburnrail
