#include <failover/detail/FailoverAttempt.h>

#include <algorithm>
#include <compare>
#include <tuple>

namespace auburnrail::detail {

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

auto FailoverAttempt::holdsEveryWrite() const -> bool
{
    return this->view.synchronousReplicas == 0 || this->isOldPrimaryFenced()
           || this->areReplicasFenced();
}

auto FailoverAttempt::mostAdvanced() const -> GroupEndpoint
{
    if (this->view.endpoints.empty())
        return GroupEndpoint();
    // With synchronous replicas every acknowledged write is on at least one replica, so that the
    // old primary, which may have caused the failover, need not become primary again.
    const auto skipsOldPrimary = this->view.synchronousReplicas > 0
                                 && this->view.endpoints.size() > 1 && this->areReplicasFenced();
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

auto FailoverAttempt::retryDelay(const FailoverLimits &limits) const -> Duration
{
    auto delay = limits.retryInitial;
    for (auto i = std::size_t(1); i < this->tries && delay < limits.retryMaximum; ++i)
        delay *= 2;
    return std::min(delay, limits.retryMaximum);
}

} // namespace auburnrail::detail
