// How a FailoverCoordinator follows waits for evidence, and takes an operator's decision.
#include <failover/FailoverCoordinator.h>

#include <core/RankedLock.h>

#include <algorithm>

namespace auburnrail {

namespace {

auto makeWait(const detail::FailoverAttempt &attempt, EvidenceWaitStage stage, TimePoint since,
              TimePoint now) -> EvidenceWait
{
    auto wait = EvidenceWait{.stage = stage,
                             .evidence = attempt.evidence(now),
                             .since = since,
                             .waited = attempt.evidenceWatch.waited(now)};
    // The evidence is on the endpoint that was chosen last, maybe in an earlier term.
    const auto best = attempt.mostAdvanced().name;
    wait.evidence.proof = attempt.proofOf(best);
    wait.evidence.endpoint = wait.evidence.proof == PromotionProof::None ? std::string() : best;
    return wait;
}

} // namespace

auto FailoverCoordinator::updateEvidenceWait(detail::FailoverAttempt &attempt, TimePoint now,
                                             Effects &effects) -> void
{
    // In another phase a wait goes on in the next term, or there is a proof already.
    if (!attempt.needsProof() || !attempt.isFencing()
        || !attempt.hasOldTermEnded(this->limits, now))
        return;
    auto &watch = attempt.evidenceWatch;
    auto &record = attempt.record;
    const auto isFirst = watch.isNew();
    const auto hasProof = attempt.hasProof();
    if (isFirst || !hasProof)
        watch.lacksProof(isFirst ? *attempt.confirmedAt + this->limits.acknowledgementGrace : now);
    const auto since = watch.since();
    if (!since)
        return;
    const auto stage = hasProof ? watch.end(now) : watch.takeReport(this->limits, now);
    record.evidenceWait = watch.waited(now);
    record.waiting.reset();
    if (watch.isReported())
        record.waiting = makeWait(attempt, EvidenceWaitStage::Lasts, *since, now);
    if (stage)
        this->reportEvidenceWait(attempt, *stage, *since, now, effects);
}

auto FailoverCoordinator::reportEvidenceWait(const detail::FailoverAttempt &attempt,
                                             EvidenceWaitStage stage, TimePoint since,
                                             TimePoint now, Effects &effects) -> void
{
    if (!this->hooks.waitsForEvidence)
        return;
    effects.emplace_back([this, wait = makeWait(attempt, stage, since, now)] {
        this->hooks.waitsForEvidence(wait);
    });
}

auto FailoverCoordinator::acceptLoss(const std::string &group, const AcceptedLoss &loss,
                                     TimePoint now) -> absl::Status
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->attempts.find(group);
        if (found == this->attempts.end() || !found->second.awaitsEvidence(this->limits, now)) {
            return absl::FailedPreconditionError("no failover of group " + group
                                                 + " waits for evidence at this member");
        }
        auto &attempt = found->second;
        const auto fence = attempt.fences.find(loss.endpoint);
        if (fence == attempt.fences.end() || fence->second.rebuilding)
            return absl::NotFoundError("endpoint " + loss.endpoint + " is not fenced");
        if (fence->second.position != loss.position)
            return absl::AbortedError("endpoint " + loss.endpoint
                                      + " is fenced at another position");
        attempt.acceptedLoss = loss;
        this->advanceWhenFenced(attempt, now, effects);
    }
    for (const auto &effect : effects)
        effect();
    return absl::OkStatus();
}

auto FailoverCoordinator::waitingEvidence(const std::string &group, TimePoint now) const
    -> std::optional<PromotionEvidence>
{
    const RankedLock lock(this->mutex);
    const auto found = this->attempts.find(group);
    if (found == this->attempts.end() || !found->second.awaitsEvidence(this->limits, now))
        return std::nullopt;
    return found->second.evidence(now);
}

auto FailoverCoordinator::waitingGroups() const -> std::size_t
{
    const RankedLock lock(this->mutex);
    const auto waiting =
        std::count_if(this->attempts.begin(), this->attempts.end(),
                      [](const auto &row) { return row.second.evidenceWatch.isReported(); });
    return static_cast<std::size_t>(waiting);
}

} // namespace auburnrail
