// Orders to follow a primary. The steps of a failover are in FailoverSteps.cpp.
#include <failover/FailoverCoordinator.h>

#include <core/RankedLock.h>

namespace auburnrail {

auto FailoverCoordinator::followAll(const FailoverGroup &view, TimePoint now) -> void
{
    for (const auto &endpoint : view.endpoints) {
        if (endpoint.name != view.primary)
            this->follows.insert_or_assign(
                {view.name, endpoint.name},
                detail::PendingFollow{.term = view.term, .nextTryAt = now});
    }
}

auto FailoverCoordinator::dropFollows(const std::string &group) -> void
{
    std::erase_if(this->follows, [&group](const auto &row) { return row.first.first == group; });
}

auto FailoverCoordinator::issueFollows(TimePoint now, Effects &effects) -> void
{
    auto sent = std::size_t(0);
    for (auto row = this->follows.begin(); row != this->follows.end();) {
        auto &[key, order] = *row;
        const auto &[group, name] = key;
        const auto &view = this->groups[group];
        const auto *endpoint = view.find(name);
        const auto *primary = view.find(view.primary);
        if (view.phase != GroupPhase::Serving || view.term != order.term || name == view.primary
            || endpoint == nullptr || primary == nullptr) {
            row = this->follows.erase(row);
            continue;
        }
        ++row;
        if (now < order.nextTryAt || sent >= this->limits.maxFollowsPerTick)
            continue;
        ++sent;
        ++order.tries;
        order.nextTryAt = now + this->limits.callTimeout;
        auto done = [this, key = key, term = order.term](bool isConfirmed, TimePoint at) {
            this->followEnded(key, term, isConfirmed, at);
        };
        effects.emplace_back(
            [this, endpoint = *endpoint, primary = *primary, group = group, term = order.term,
             done = std::move(done)] { this->hooks.follow(endpoint, group, term, primary, done); });
    }
}

auto FailoverCoordinator::followEnded(const std::pair<std::string, std::string> &key,
                                      std::uint64_t term, bool isConfirmed, TimePoint now) -> void
{
    const RankedLock lock(this->mutex);
    const auto found = this->follows.find(key);
    if (found == this->follows.end() || found->second.term != term)
        return;
    if (isConfirmed)
        this->follows.erase(found);
    else
        found->second.nextTryAt = now + this->limits.retryDelay(found->second.tries);
}

} // namespace auburnrail
