// The order to become primary, and its publication. The steps before are in FailoverSteps.cpp.
#include <failover/FailoverCoordinator.h>

namespace auburnrail {

using detail::FailoverAttempt;

auto FailoverCoordinator::issuePromote(FailoverAttempt &attempt, TimePoint now, Effects &effects)
    -> void
{
    if (attempt.tries > this->limits.maxPromoteTries) {
        this->restartWithNewTerm(
            attempt, attempt.record.term,
            "endpoint " + attempt.chosen.name + " did not confirm its promotion", now, effects);
        return;
    }
    if (this->hooks.inspect)
        this->issueInspection(attempt, effects);
    else
        this->orderPromotion(attempt, now, effects);
}

auto FailoverCoordinator::issueInspection(const FailoverAttempt &attempt, Effects &effects) -> void
{
    const auto group = attempt.record.group;
    const auto attemptId = attempt.id;
    auto done = [this, group, attemptId](std::optional<EndpointInspection> inspection,
                                         TimePoint at) {
        this->completeStep(group, attemptId, FailoverPhase::Promoting,
                           [this, &inspection, at](FailoverAttempt &current, Effects &more)
                               ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
                                   this->handleInspection(current, inspection, at, more);
                               });
    };
    effects.emplace_back([this, group, chosen = attempt.chosen, done = std::move(done)] {
        this->hooks.inspect(chosen, group, done);
    });
}

auto FailoverCoordinator::handleInspection(FailoverAttempt &attempt,
                                           const std::optional<EndpointInspection> &inspection,
                                           TimePoint now, Effects &effects) -> void
{
    if (!inspection) {
        attempt.nextTryAt = now + this->limits.retryDelay(attempt.tries);
        return;
    }
    if (!attempt.hasKeptLog(inspection->position)) {
        this->restartWithNewTerm(attempt, attempt.record.term,
                                 "endpoint " + attempt.chosen.name
                                     + " has lost entries that it had when it was fenced",
                                 now, effects);
        return;
    }
    const auto needsAnswer = attempt.mayOthersLead() && !attempt.isConfirmed;
    if (inspection->isPrimary && needsAnswer) {
        this->restartWithNewTerm(attempt, attempt.record.term,
                                 "endpoint " + attempt.chosen.name
                                     + " leads by an order that may be an earlier one",
                                 now, effects);
        return;
    }
    if (inspection->isPrimary && attempt.isOrdered())
        this->enterPhase(attempt, FailoverPhase::Publishing, now, effects);
    else
        this->orderPromotion(attempt, now, effects);
}

auto FailoverCoordinator::orderPromotion(FailoverAttempt &attempt, TimePoint now, Effects &effects)
    -> void
{
    attempt.record.lastPromotion = attempt.evidence(now);
    attempt.ordered.insert(attempt.chosen.name);
    const auto group = attempt.record.group;
    const auto attemptId = attempt.id;
    auto done = [this, group, attemptId](bool promoted, TimePoint at) {
        this->completeStep(
            group, attemptId, FailoverPhase::Promoting,
            [this, promoted, at](FailoverAttempt &current, Effects &more)
                ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
                    current.isConfirmed |= promoted;
                    if (promoted && this->hooks.inspect)
                        this->issueInspection(current, more);
                    else if (promoted)
                        this->enterPhase(current, FailoverPhase::Publishing, at, more);
                    else
                        current.nextTryAt = at + this->limits.retryDelay(current.tries);
                });
    };
    effects.emplace_back([this, chosen = attempt.chosen, group, term = attempt.record.term,
                          members = attempt.view.endpoints,
                          evidence = *attempt.record.lastPromotion, done = std::move(done)] {
        if (this->hooks.promotionOrdered)
            this->hooks.promotionOrdered(evidence);
        this->hooks.promote(chosen, group, term, members, done);
    });
}

auto FailoverCoordinator::issuePublish(FailoverAttempt &attempt, TimePoint now, Effects &effects)
    -> void
{
    const auto group = attempt.record.group;
    // An endpoint that has departed since, or whose process is another one, is never published.
    const auto *chosen = this->groups[group].find(attempt.chosen.name);
    if (chosen == nullptr || chosen->startedAt != attempt.chosen.startedAt) {
        this->restartWithNewTerm(attempt, attempt.record.term,
                                 "endpoint " + attempt.chosen.name
                                     + (chosen == nullptr ? " departed" : " started again")
                                     + " before it was published",
                                 now, effects);
        return;
    }
    const auto attemptId = attempt.id;
    auto done = [this, group, attemptId](bool published, TimePoint at) {
        this->completeStep(group, attemptId, FailoverPhase::Publishing,
                           [this, published, at](FailoverAttempt &current, Effects &more)
                               ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
                                   if (!published) {
                                       current.nextTryAt =
                                           at + this->limits.retryDelay(current.tries);
                                       return;
                                   }
                                   auto &view = this->groups[current.record.group];
                                   view.term = current.record.term;
                                   view.phase = GroupPhase::Serving;
                                   view.primary = current.chosen.name;
                                   this->unserved.erase(view.name);
                                   this->finishAttempt(current, true, at, more);
                               });
    };
    const auto *order = attempt.isOrdered() ? &*attempt.record.lastPromotion : nullptr;
    // The old primary may have kept its role, and goes on in the term of what was given up.
    const auto isLossAccepted = order != nullptr && attempt.chosen.name != attempt.view.primary
                                && order->proof == PromotionProof::OperatorDecision;
    const auto publication = PublishPrimary{.group = group,
                                            .term = attempt.record.term,
                                            .endpoint = attempt.chosen.name,
                                            .start = attempt.record.position,
                                            .isLossAccepted = isLossAccepted};
    effects.emplace_back(
        [this, publication, done = std::move(done)] { this->hooks.publish(publication, done); });
}

} // namespace auburnrail
