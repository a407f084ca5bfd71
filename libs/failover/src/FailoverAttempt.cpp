#include <failover/detail/FailoverAttempt.h>

#include <algorithm>
#include <compare>
#include <tuple>

namespace auburnrail::detail {

auto FailoverAttempt::updateMembers(const std::vector<GroupEndpoint> &members) -> bool
{
    const auto sameProcess = [](const GroupEndpoint &left, const GroupEndpoint &right) {
        return left.name == right.name && left.startedAt == right.startedAt;
    };
    const auto isIn = [&](const std::vector<GroupEndpoint> &list, const GroupEndpoint &endpoint) {
        return std::any_of(list.begin(), list.end(), [&](const GroupEndpoint &other) {
            return sameProcess(other, endpoint);
        });
    };
    for (const auto &former : this->view.endpoints) {
        if (isIn(members, former))
            continue;
        this->fences.erase(former.name);
        this->fencedAt.erase(former.name);
        this->heardAt.erase(former.name);
    }
    const auto hasNew =
        std::any_of(members.begin(), members.end(), [&](const GroupEndpoint &endpoint) {
            return !isIn(this->view.endpoints, endpoint);
        });
    this->view.endpoints = members;
    return hasNew;
}

auto FailoverAttempt::evidence(TimePoint now) const -> PromotionEvidence
{
    auto evidence = PromotionEvidence{.group = this->record.group,
                                      .term = this->record.term,
                                      .cause = this->record.cause,
                                      .endpoint = this->chosen.name,
                                      .oldPrimary = this->view.primary,
                                      .synchronousReplicas = this->view.synchronousReplicas,
                                      .tries = this->tries,
                                      .orderedAt = now,
                                      .leasesConfirmedAt = this->confirmedAt,
                                      .acknowledged = this->acknowledged.known(),
                                      .acknowledgedGap = this->acknowledgedGap(),
                                      .acknowledgedAtLeast = this->acknowledged.atLeast(),
                                      .proof = this->proofOf(this->chosen.name),
                                      .areProcessesKnown = this->view.evidence.publishedIn != 0};
    for (const auto &process : this->view.evidence.ended)
        evidence.ended.push_back(process.endpoint);
    for (const auto &endpoint : this->view.endpoints) {
        const auto found = this->fences.find(endpoint.name);
        if (found == this->fences.end()) {
            evidence.notFenced.push_back(endpoint.name);
            continue;
        }
        if (!this->isIdentified(endpoint))
            evidence.unidentified.push_back(endpoint.name);
        evidence.fenced.push_back(FenceEvidence{.endpoint = endpoint.name,
                                                .position = found->second.position,
                                                .wasPrimary = found->second.wasPrimary,
                                                .rebuilding = found->second.rebuilding,
                                                .receivedAt = this->fencedAt.at(endpoint.name)});
    }
    return evidence;
}

auto FailoverAttempt::acknowledgedGap() const -> AcknowledgedGap
{
    if (!this->needsProof() || this->acknowledged.known())
        return AcknowledgedGap::None;
    return this->acknowledged.isAwaited() ? AcknowledgedGap::ReportsMissing
                                          : AcknowledgedGap::LeaseEnded;
}

auto FailoverAttempt::needsProof() const -> bool
{
    return this->view.synchronousReplicas > 0 && !this->view.primary.empty();
}

auto FailoverAttempt::isSucceeded(const GroupEndpoint &endpoint) const -> bool
{
    if (!this->gone.contains(endpoint.name) || endpoint.address.empty())
        return false;
    return std::any_of(this->view.endpoints.begin(), this->view.endpoints.end(),
                       [&](const GroupEndpoint &other) {
                           const auto found = this->fences.find(other.name);
                           return other.name != endpoint.name && other.address == endpoint.address
                                  && found != this->fences.end() && !found->second.rebuilding;
                       });
}

auto FailoverAttempt::hasMajority() const -> bool
{
    const auto counts = [this](const GroupEndpoint &endpoint) {
        const auto found = this->fences.find(endpoint.name);
        // A group that never had a primary has no writes to lose.
        return found != this->fences.end()
               && (!found->second.rebuilding || this->view.primary.empty());
    };
    const auto fenced =
        std::count_if(this->view.endpoints.begin(), this->view.endpoints.end(), counts);
    // One log counts once.
    const auto succeeded = std::count_if(
        this->view.endpoints.begin(), this->view.endpoints.end(),
        [this](const GroupEndpoint &endpoint) { return this->isSucceeded(endpoint); });
    return static_cast<std::size_t>(fenced * 2 + succeeded) > this->view.endpoints.size();
}

auto FailoverAttempt::hasEnoughFences() const -> bool
{
    return this->hasMajority() || (this->view.synchronousReplicas > 0 && this->hasProof());
}

auto FailoverAttempt::isOldPrimaryFenced() const -> bool
{
    if (this->view.primary.empty() || this->fences.contains(this->view.primary))
        return true;
    const auto *old = this->view.find(this->view.primary);
    return old != nullptr && this->isSucceeded(*old);
}

auto FailoverAttempt::areReplicasFenced() const -> bool
{
    return std::all_of(this->view.endpoints.begin(), this->view.endpoints.end(),
                       [this](const GroupEndpoint &endpoint) {
                           return endpoint.name == this->view.primary
                                  || this->fences.contains(endpoint.name)
                                  || this->isSucceeded(endpoint);
                       });
}

auto FailoverAttempt::hasOldTermEnded(const FailoverLimits &limits, TimePoint now) const -> bool
{
    if (!this->confirmedAt)
        return false;
    // Without synchronous replicas entries check their lease and the term at each acknowledgement.
    const auto grace =
        this->view.synchronousReplicas > 0 ? limits.acknowledgementGrace : Duration::zero();
    return now >= *this->confirmedAt + grace;
}

auto FailoverAttempt::mayFence(const FailoverLimits &limits, TimePoint now) const -> bool
{
    return this->view.synchronousReplicas == 0 || this->hasOldTermEnded(limits, now);
}

auto FailoverAttempt::mayOthersLead() const -> bool
{
    return this->record.cause == FailoverCause::Resumed
           || std::any_of(this->ordered.begin(), this->ordered.end(),
                          [this](const auto &name) { return name != this->chosen.name; });
}

auto FailoverAttempt::isOrdered() const -> bool
{
    return this->record.lastPromotion && this->record.lastPromotion->term == this->record.term;
}

auto FailoverAttempt::hasKeptLog(const Position &position) const -> bool
{
    return std::is_gteq(position <=> this->record.position)
           && position.index >= this->record.position.index;
}

auto FailoverAttempt::mayAdopt(const GroupEndpoint &endpoint) const -> bool
{
    const auto *old = this->view.find(this->view.primary);
    return this->view.synchronousReplicas > 0 && this->record.cause == FailoverCause::Suspicion
           && !this->record.lastPromotion && old != nullptr
           && (endpoint.name == old->name || endpoint.address == old->address);
}

auto FailoverAttempt::isFencing() const -> bool
{
    return this->phase == FailoverPhase::Fencing
           || this->phase == FailoverPhase::WaitingForceOrConfirmation;
}

auto FailoverAttempt::isAwaited(const std::string &endpoint) const -> bool
{
    return this->isFencing() && !this->fences.contains(endpoint);
}

auto FailoverAttempt::awaitsEvidence(const FailoverLimits &limits, TimePoint now) const -> bool
{
    return this->isFencing() && this->hasOldTermEnded(limits, now) && !this->hasProof();
}

auto FailoverAttempt::awaitsBetterChoice(const FailoverLimits &limits, TimePoint now) const -> bool
{
    if (this->view.synchronousReplicas == 0)
        return false;
    const auto waitedFor = now - this->record.phases.back().startedAt;
    return (this->acknowledged.isAwaited() && waitedFor < limits.acknowledgedReportWait)
           || (!this->areReplicasFenced() && waitedFor < limits.replicaFenceWait);
}

auto FailoverAttempt::isOldPrimaryAhead() const -> bool
{
    const auto old = this->fences.find(this->view.primary);
    if (old == this->fences.end())
        return false;
    return std::all_of(this->view.endpoints.begin(), this->view.endpoints.end(),
                       [&](const GroupEndpoint &endpoint) {
                           const auto found = this->fences.find(endpoint.name);
                           return endpoint.name == old->first || found == this->fences.end()
                                  || std::is_lt(found->second.position <=> old->second.position);
                       });
}

auto FailoverAttempt::mostAdvanced() const -> GroupEndpoint
{
    if (this->view.endpoints.empty())
        return GroupEndpoint();
    const auto skipsOldPrimary = this->view.synchronousReplicas > 0 && !this->isOldPrimaryNeeded();
    const auto rankOf = [this, skipsOldPrimary](const GroupEndpoint &endpoint) {
        const auto found = this->fences.find(endpoint.name);
        const auto fenced = found != this->fences.end();
        const auto skipped = skipsOldPrimary && endpoint.name == this->view.primary;
        const auto proof = this->proofOf(endpoint.name);
        return std::tuple(isAboutLogs(proof), proof != PromotionProof::None, !skipped, fenced,
                          fenced ? found->second.position : Position(), !endpoint.leaving,
                          endpoint.name == this->record.requestedPrimary,
                          endpoint.name == this->view.primary);
    };
    return *std::max_element(
        this->view.endpoints.begin(), this->view.endpoints.end(),
        [&](const auto &left, const auto &right) { return rankOf(left) < rankOf(right); });
}

auto FailoverAttempt::isRequestedPrimaryBehind() const -> bool
{
    if (this->record.requestedPrimary.empty())
        return false;
    const auto requested = this->fences.find(this->record.requestedPrimary);
    const auto best = this->fences.find(this->mostAdvanced().name);
    return requested == this->fences.end() || best == this->fences.end()
           || std::is_lt(requested->second.position <=> best->second.position);
}

} // namespace auburnrail::detail
