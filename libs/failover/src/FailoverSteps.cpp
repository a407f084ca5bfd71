// The steps of a failover up to the choice. The public functions are in FailoverCoordinator.cpp,
// the order to become primary and its publication in FailoverPromotion.cpp.
#include <failover/FailoverCoordinator.h>

#include <core/RankedLock.h>

#include <algorithm>

namespace auburnrail {

using detail::FailoverAttempt;

auto FailoverCoordinator::startFailover(const FailoverGroup &view, FailoverCause cause,
                                        const std::string &requested, TimePoint now,
                                        Effects &effects) -> void
{
    // What is fenced must not receive anything before the promotion.
    this->dropFollows(view.name);
    // The reports against this primary would start a second attempt in place of this one. Further
    // ones are not taken before it ends.
    this->suspicions.clear(view.name);
    auto &attempt = this->attempts[view.name];
    attempt.view = view;
    // In a group without a published primary nothing is acknowledged in its own term either.
    attempt.firstTerm = view.phase == GroupPhase::Fencing ? view.term : view.term + 1;
    attempt.declaresLostLogs = !this->hooks.inspect;
    // Published in no term since the earlier leader found it out.
    if (view.phase == GroupPhase::Fencing && view.evidence.acknowledged)
        attempt.acknowledged.restore(*view.evidence.acknowledged);
    else if (view.evidence.lossAcceptedAfter)
        attempt.acknowledged.giveUpAfter(*view.evidence.lossAcceptedAfter);
    attempt.record = FailoverRecord{.group = view.name,
                                    .cause = cause,
                                    .oldPrimary = view.primary,
                                    .requestedPrimary = requested};
    this->restartWithNewTerm(attempt, view.term, "", now, effects);
}

auto FailoverCoordinator::restartWithNewTerm(FailoverAttempt &attempt, std::uint64_t highestTerm,
                                             const std::string &note, TimePoint now,
                                             Effects &effects) -> void
{
    attempt.id = ++this->lastAttemptId;
    const auto &present = this->groups[attempt.record.group];
    attempt.updateMembers(present.endpoints);
    const auto required = attempt.view.synchronousReplicas;
    attempt.view = present;
    // What was acknowledged with synchronous replicas is not less so in a later configuration.
    const auto recorded =
        present.phase == GroupPhase::Fencing ? present.evidence.synchronousReplicas : 0;
    attempt.view.synchronousReplicas = std::max({required, recorded, present.synchronousReplicas});
    attempt.record.term = std::max(highestTerm, attempt.view.term) + 1;
    attempt.fences.clear();
    attempt.acceptedLoss.reset();
    attempt.isConfirmed = false;
    // A publication that was not confirmed may have been committed.
    if (attempt.phase == FailoverPhase::Publishing) {
        attempt.confirmedAt.reset();
        attempt.acknowledged = detail::AcknowledgedPosition();
        attempt.firstTerm = attempt.record.term;
    }
    if (!note.empty())
        attempt.record.note = note;
    this->enterPhase(attempt, FailoverPhase::GrantingTerm, now, effects);
}

auto FailoverCoordinator::enterPhase(FailoverAttempt &attempt, FailoverPhase phase, TimePoint now,
                                     Effects &effects) -> void
{
    attempt.phase = phase;
    attempt.tries = 0;
    auto &phases = attempt.record.phases;
    if (phases.size() >= this->limits.maxPhases)
        phases.erase(phases.begin());
    phases.push_back(PhaseTime{.phase = phase, .term = attempt.record.term, .startedAt = now});
    if (phase == FailoverPhase::Promoting) {
        attempt.chosen = attempt.mostAdvanced();
        attempt.record.newPrimary = attempt.chosen.name;
        attempt.record.position = attempt.fences[attempt.chosen.name].position;
        if (!attempt.record.requestedPrimary.empty()
            && attempt.record.requestedPrimary != attempt.chosen.name)
            attempt.record.note = "the wanted endpoint was behind or did not answer";
        if (attempt.view.synchronousReplicas > 0 && attempt.isOldPrimaryAhead())
            attempt.record.note =
                attempt.chosen.name == attempt.view.primary
                    ? "the old primary stays: the replicas lack entries that it has"
                    : "the suspected old primary has entries that no replica has";
        if (attempt.proofOf(attempt.chosen.name) == PromotionProof::OperatorDecision)
            attempt.record.note = "an operator accepted the loss of what is missing";
    }
    this->issueStep(attempt, now, effects);
}

auto FailoverCoordinator::issueStep(FailoverAttempt &attempt, TimePoint now, Effects &effects)
    -> void
{
    ++attempt.tries;
    attempt.nextTryAt = now + this->limits.callTimeout;
    switch (attempt.phase) {
    case FailoverPhase::Watching:
        break;
    case FailoverPhase::GrantingTerm:
        this->issueGrant(attempt, effects);
        break;
    case FailoverPhase::Fencing:
    case FailoverPhase::WaitingForceOrConfirmation:
        // While waiting for the leases, endpoints that did not respond are asked again: the old
        // primary may confirm the fence, and a more advanced endpoint may respond.
        this->issueFences(attempt, now, effects);
        if (attempt.mayFence(this->limits, now)) {
            attempt.nextTryAt = now + this->limits.retryDelay(attempt.tries);
        } else {
            attempt.tries = 0;
            if (attempt.confirmedAt)
                attempt.nextTryAt = *attempt.confirmedAt + this->limits.acknowledgementGrace;
        }
        if (attempt.phase == FailoverPhase::WaitingForceOrConfirmation && attempt.tries > 1)
            this->promoteWhenReady(attempt, now, effects);
        break;
    case FailoverPhase::Promoting:
        this->issuePromote(attempt, now, effects);
        break;
    case FailoverPhase::Publishing:
        this->issuePublish(attempt, now, effects);
        break;
    }
}

auto FailoverCoordinator::issueGrant(FailoverAttempt &attempt, Effects &effects) -> void
{
    const auto group = attempt.record.group;
    const auto attemptId = attempt.id;
    auto done = [this, group, attemptId](std::optional<Revision> revision, TimePoint at) {
        this->completeStep(group, attemptId, FailoverPhase::GrantingTerm,
                           [this, revision, at](FailoverAttempt &current, Effects &more)
                               ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
                                   if (!revision) {
                                       this->grantRefused(current, at, more);
                                       return;
                                   }
                                   current.revision = *revision;
                                   this->enterPhase(current, FailoverPhase::Fencing, at, more);
                               });
    };
    effects.emplace_back([this, group, term = attempt.record.term, done = std::move(done)] {
        this->hooks.grantTerm(group, term, done);
    });
}

auto FailoverCoordinator::leaseCensus(TimePoint now) const -> std::optional<LeaseCensus>
{
    return this->hooks.leaseCensus ? this->hooks.leaseCensus(now) : std::nullopt;
}

auto FailoverCoordinator::grantRefused(FailoverAttempt &attempt, TimePoint now, Effects &effects)
    -> void
{
    // The term is never granted again once the group has it.
    if (this->groups[attempt.record.group].term >= attempt.record.term) {
        this->restartWithNewTerm(attempt, attempt.record.term,
                                 "the term was granted without a confirmation", now, effects);
        return;
    }
    attempt.nextTryAt = now + this->limits.retryDelay(attempt.tries);
}

auto FailoverCoordinator::issueFences(FailoverAttempt &attempt, TimePoint now, Effects &effects)
    -> void
{
    if (!attempt.mayFence(this->limits, now))
        return;
    const auto group = attempt.record.group;
    const auto attemptId = attempt.id;
    const auto requestedIsBehind = attempt.isRequestedPrimaryBehind();
    const auto source = attempt.mostAdvanced();
    for (const auto &endpoint : attempt.view.endpoints) {
        const auto fenced = attempt.fences.contains(endpoint.name);
        const auto mustCatchUp =
            fenced && requestedIsBehind && endpoint.name == attempt.record.requestedPrimary;
        if (mustCatchUp) {
            effects.emplace_back([this, endpoint, group, term = attempt.record.term, source] {
                // The next try of the fences repeats it.
                this->hooks.follow(endpoint, group, term, source, [](bool, TimePoint) {});
            });
        }
        // The log of an endpoint that still leads may grow by what was on its way to it.
        const auto isRead = this->hooks.inspect && attempt.mayAdopt(endpoint)
                            && attempt.leaders.contains(endpoint.name);
        if (fenced && !mustCatchUp && !isRead)
            continue;
        auto done = [this, group, attemptId,
                     name = endpoint.name](std::optional<FenceResponse> response, TimePoint at) {
            if (!response)
                return;
            const auto change =
                [this, &response, &name, at](FailoverAttempt &current, Effects &more)
                    ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
                        this->handleFenceResponse(current, name, *response, at, more);
                    };
            this->completeStep(group, attemptId, FailoverPhase::Fencing, change);
            this->completeStep(group, attemptId, FailoverPhase::WaitingForceOrConfirmation, change);
        };
        const auto mayBeAdopted = this->hooks.inspect && attempt.mayAdopt(endpoint);
        effects.emplace_back([this, endpoint, group, attemptId, term = attempt.record.term,
                              mayBeAdopted, done = std::move(done)] {
            if (mayBeAdopted)
                this->inspectOrFence(endpoint, {group, attemptId, term}, done);
            else
                this->hooks.fence(endpoint, group, term, done);
        });
    }
}

auto FailoverCoordinator::inspectOrFence(const GroupEndpoint &endpoint, const AttemptTerm &attempt,
                                         const FenceDone &done) -> void
{
    this->hooks.inspect(endpoint, attempt.group,
                        [this, endpoint, attempt,
                         done](std::optional<EndpointInspection> inspection, TimePoint at) {
                            if (inspection && inspection->isPrimary)
                                done(FenceResponse{.accepted = true,
                                                   .position = inspection->position,
                                                   .wasPrimary = true},
                                     at);
                            // A fence after the end of the attempt would end the role of the new
                            // primary.
                            else if (this->isFencing(attempt))
                                this->hooks.fence(endpoint, attempt.group, attempt.term, done);
                        });
}

auto FailoverCoordinator::isFencing(const AttemptTerm &attempt) const -> bool
{
    const RankedLock lock(this->mutex);
    const auto found = this->attempts.find(attempt.group);
    return found != this->attempts.end() && found->second.id == attempt.attemptId
           && found->second.isFencing();
}

auto FailoverCoordinator::handleFenceResponse(FailoverAttempt &attempt, const std::string &endpoint,
                                              const FenceResponse &response, TimePoint now,
                                              Effects &effects) -> void
{
    if (!response.accepted && !response.isGone) {
        this->restartWithNewTerm(attempt, std::max(response.highestTerm, attempt.record.term),
                                 "endpoint " + endpoint + " knows a later term", now, effects);
        return;
    }
    if (response.isGone) {
        attempt.gone.insert(endpoint);
        attempt.fences.erase(endpoint);
    } else {
        auto &fence = attempt.fences.insert_or_assign(endpoint, response).first->second;
        // The id may be used again, by a process without the log of the one before.
        fence.rebuilding |= attempt.gone.contains(endpoint);
        attempt.fencedAt.insert_or_assign(endpoint, now);
        if (response.wasPrimary)
            attempt.leaders.insert(endpoint);
    }
    this->advanceWhenFenced(attempt, now, effects);
}

auto FailoverCoordinator::advanceWhenFenced(FailoverAttempt &attempt, TimePoint now,
                                            Effects &effects) -> void
{
    if (attempt.phase == FailoverPhase::Fencing && attempt.hasEnoughFences())
        this->enterPhase(attempt, FailoverPhase::WaitingForceOrConfirmation, now, effects);
    if (attempt.phase == FailoverPhase::WaitingForceOrConfirmation)
        this->promoteWhenReady(attempt, now, effects);
}

auto FailoverCoordinator::keepAcknowledged(FailoverAttempt &attempt, Effects &effects) -> void
{
    const auto position = attempt.acknowledged.known();
    if (!position || !attempt.needsProof() || !this->hooks.acknowledgedKnown
        || attempt.keptIn == attempt.record.term || attempt.view.evidence.acknowledged == position)
        return;
    attempt.keptIn = attempt.record.term;
    effects.emplace_back(
        [this, group = attempt.record.group, term = attempt.record.term, position = *position] {
            this->hooks.acknowledgedKnown(group, term, position);
        });
}

auto FailoverCoordinator::entriesConfirmed(FailoverAttempt &attempt,
                                           const std::optional<LeaseCensus> &leases, TimePoint now)
    -> void
{
    // Also taken again later: an entry whose lease had ended may be back and report.
    if (attempt.view.synchronousReplicas > 0)
        attempt.acknowledged.expect(leases, this->limits.acknowledgementGrace);
    if (attempt.confirmedAt)
        return;
    attempt.confirmedAt = now;
    if (attempt.view.synchronousReplicas == 0)
        return;
    // What could not be fenced before is fenced as soon as the last acknowledgement may have come.
    attempt.tries = 0;
    attempt.nextTryAt = std::min(attempt.nextTryAt, now + this->limits.acknowledgementGrace);
}

auto FailoverCoordinator::promoteWhenReady(FailoverAttempt &attempt, TimePoint now,
                                           Effects &effects) -> void
{
    this->keepAcknowledged(attempt, effects);
    this->updateEvidenceWait(attempt, now, effects);
    const auto waitedFor = now - attempt.record.phases.back().startedAt;
    const auto mustCatchUp =
        attempt.isRequestedPrimaryBehind() && waitedFor < this->limits.catchUpLimit;
    // A fence by the project's own protocol lasts: the endpoint remembers the term.
    const auto acknowledgesNothing =
        attempt.hasOldTermEnded(this->limits, now)
        || (attempt.view.synchronousReplicas == 0 && attempt.isOldPrimaryFenced());
    if (acknowledgesNothing && !mustCatchUp && !attempt.awaitsBetterChoice(this->limits, now)
        && attempt.hasProof())
        this->enterPhase(attempt, FailoverPhase::Promoting, now, effects);
}

} // namespace auburnrail
