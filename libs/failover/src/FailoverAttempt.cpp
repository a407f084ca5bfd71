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
        // A server that starts at the address has the log of the one before.
        const auto hasSuccessor =
            std::any_of(members.begin(), members.end(), [&](const GroupEndpoint &other) {
                return other.address == former.address;
            });
        this->hasLostReplica |= !hasSuccessor && former.name != this->view.primary
                                && !this->fences.contains(former.name);
        this->fences.erase(former.name);
        this->fencedAt.erase(former.name);
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
                                      .acknowledged = this->acknowledged.known()};
    for (const auto &endpoint : this->view.endpoints) {
        const auto found = this->fences.find(endpoint.name);
        if (found == this->fences.end()) {
            evidence.notFenced.push_back(endpoint.name);
            continue;
        }
        evidence.fenced.push_back(FenceEvidence{.endpoint = endpoint.name,
                                                .position = found->second.position,
                                                .wasPrimary = found->second.wasPrimary,
                                                .rebuilding = found->second.rebuilding,
                                                .receivedAt = this->fencedAt.at(endpoint.name)});
    }
    return evidence;
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

auto FailoverAttempt::isHolder(const std::string &endpoint) const -> bool
{
    const auto position = this->acknowledged.known();
    const auto found = this->fences.find(endpoint);
    return position && found != this->fences.end() && !found->second.rebuilding
           && std::is_gteq(found->second.position <=> *position);
}

auto FailoverAttempt::hasHolder(const std::string &except) const -> bool
{
    return std::any_of(this->view.endpoints.begin(), this->view.endpoints.end(),
                       [&](const GroupEndpoint &endpoint) {
                           return endpoint.name != except && this->isHolder(endpoint.name);
                       });
}

auto FailoverAttempt::hasWaitedForHolder(const FailoverLimits &limits, TimePoint now) const -> bool
{
    return this->confirmedAt
           && now - *this->confirmedAt >= limits.acknowledgementGrace + limits.holderWait;
}

auto FailoverAttempt::holdsEveryWrite(const FailoverLimits &limits, TimePoint now) const -> bool
{
    if (this->view.synchronousReplicas == 0)
        return true;
    if (!this->isOldPrimaryFenced() && !this->areReplicasFenced())
        return false;
    const auto isHeld = this->acknowledged.known()
                            ? this->hasHolder()
                            : this->isOldPrimaryFenced() || !this->hasLostReplica;
    return isHeld || this->hasWaitedForHolder(limits, now);
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

auto FailoverAttempt::mayKeepOldPrimary() const -> bool
{
    if (this->view.synchronousReplicas == 0 || this->view.endpoints.size() == 1)
        return true;
    if (this->hasHolder(this->view.primary))
        return false;
    if (!this->areReplicasFenced())
        return true;
    return !this->oldPrimaryFailed && this->isOldPrimaryAhead();
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
