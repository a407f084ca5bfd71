#include <failover/detail/FailoverAttempt.h>

#include <algorithm>
#include <compare>
#include <tuple>

namespace auburnrail::detail {

auto FailoverAttempt::evidence(TimePoint now) const -> PromotionEvidence
{
    auto evidence = PromotionEvidence{.group = this->record.group,
                                      .term = this->record.term,
                                      .cause = this->record.cause,
                                      .endpoint = this->chosen.name,
                                      .oldPrimary = this->view.primary,
                                      .tries = this->tries,
                                      .orderedAt = now,
                                      .leasesConfirmedAt = this->confirmedAt};
    for (const auto &endpoint : this->view.endpoints) {
        const auto found = this->fences.find(endpoint.name);
        if (found == this->fences.end()) {
            evidence.notFenced.push_back(endpoint.name);
            continue;
        }
        evidence.fenced.push_back(FenceEvidence{.endpoint = endpoint.name,
                                                .position = found->second.position,
                                                .wasPrimary = found->second.wasPrimary,
                                                .receivedAt = this->fencedAt.at(endpoint.name)});
    }
    return evidence;
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
    return static_cast<std::size_t>(fenced) * 2 > this->view.endpoints.size();
}

auto FailoverAttempt::isOldPrimaryFenced() const -> bool
{
    return this->view.primary.empty() || this->fences.contains(this->view.primary);
}

auto FailoverAttempt::areReplicasFenced() const -> bool
{
    return std::all_of(this->view.endpoints.begin(), this->view.endpoints.end(),
                       [this](const GroupEndpoint &endpoint) {
                           return endpoint.name == this->view.primary
                                  || this->fences.contains(endpoint.name);
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

auto FailoverAttempt::mayFenceOldPrimary(const FailoverLimits &limits, TimePoint now) const -> bool
{
    return this->mayFenceReplicas(limits, now)
           || now - this->record.phases.back().startedAt >= limits.entryConfirmationWait;
}

auto FailoverAttempt::mayFenceReplicas(const FailoverLimits &limits, TimePoint now) const -> bool
{
    return this->view.synchronousReplicas == 0 || this->isOldPrimaryFenced()
           || this->hasOldTermEnded(limits, now);
}

auto FailoverAttempt::holdsEveryWrite() const -> bool
{
    return this->view.synchronousReplicas == 0 || this->isOldPrimaryFenced()
           || this->areReplicasFenced();
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

auto FailoverAttempt::mayKeepOldPrimary() const -> bool
{
    if (this->view.synchronousReplicas == 0 || this->view.endpoints.size() == 1)
        return true;
    if (!this->areReplicasFenced())
        return true;
    if (this->oldPrimaryFailed)
        return false;
    const auto *old = this->view.find(this->view.primary);
    const auto isPlanned =
        this->record.cause == FailoverCause::Planned
        // The cause that an earlier leader had is not known; a leaving primary is replaced by plan.
        || (this->record.cause == FailoverCause::Resumed && old != nullptr && old->leaving);
    return isPlanned && this->isOldPrimaryAhead();
}

auto FailoverAttempt::mostAdvanced() const -> GroupEndpoint
{
    if (this->view.endpoints.empty())
        return GroupEndpoint();
    const auto skipsOldPrimary = !this->mayKeepOldPrimary();
    const auto rankOf = [this, skipsOldPrimary](const GroupEndpoint &endpoint) {
        const auto found = this->fences.find(endpoint.name);
        const auto fenced = found != this->fences.end();
        const auto skipped = skipsOldPrimary && endpoint.name == this->view.primary;
        return std::tuple(!skipped, fenced, fenced ? found->second.position : Position(),
                          !endpoint.leaving, endpoint.name == this->record.requestedPrimary,
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
