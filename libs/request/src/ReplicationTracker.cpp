#include <request/ReplicationTracker.h>

#include <core/RankedLock.h>

#include <algorithm>

namespace auburnrail {

namespace {

auto runAll(const std::vector<std::function<auto()->void>> &effects) -> void
{
    for (const auto &effect : effects)
        effect();
}

/// Highest index that a majority of the endpoints has reached.
auto majorityIndex(const detail::GroupProgress &progress) -> std::uint64_t
{
    auto indexes = std::vector<std::uint64_t>();
    for (const auto &[name, replica] : progress.endpoints)
        indexes.push_back(replica.index);
    if (indexes.empty())
        return 0;
    std::sort(indexes.begin(), indexes.end(), std::greater<>());
    return indexes[indexes.size() / 2];
}

} // namespace

ReplicationTracker::ReplicationTracker(ReplicationHooks hooks)
    : hooks(std::move(hooks))
{
}

auto ReplicationTracker::setGroup(std::string_view group, std::uint64_t term,
                                  const std::vector<std::string> &endpoints) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        auto &progress = this->groups[std::string(group)];
        if (term < progress.term)
            return;
        if (term > progress.term) {
            for (auto &waiter : progress.waiters)
                effects.emplace_back([done = std::move(waiter.done)] { done(false); });
            progress.waiters.clear();
            // An Await of the old term may still be outstanding; no second one is sent.
            for (auto &[name, replica] : progress.endpoints)
                replica.index = 0;
            progress.term = term;
        }
        auto kept = std::map<std::string, detail::ReplicaProgress, std::less<>>();
        for (const auto &endpoint : endpoints)
            kept[endpoint] = progress.endpoints[endpoint];
        progress.endpoints = std::move(kept);
        completeWaiters(progress, effects);
        this->sendAwaits(std::string(group), progress, effects);
    }
    runAll(effects);
}

auto ReplicationTracker::recordPosition(std::string_view group, std::string_view endpoint,
                                        Position position) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->groups.find(group);
        if (found == this->groups.end() || position.term != found->second.term)
            return;
        const auto replica = found->second.endpoints.find(endpoint);
        if (replica == found->second.endpoints.end())
            return;
        replica->second.index = std::max(replica->second.index, position.index);
        completeWaiters(found->second, effects);
    }
    runAll(effects);
}

auto ReplicationTracker::awaitMajority(std::string_view group, Position position,
                                       TimePoint deadline,
                                       std::function<auto(bool confirmed)->void> done) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->groups.find(group);
        if (found == this->groups.end() || position.term != found->second.term) {
            effects.emplace_back([done = std::move(done)] { done(false); });
        } else {
            found->second.waiters.push_back(
                {.index = position.index, .deadline = deadline, .done = std::move(done)});
            completeWaiters(found->second, effects);
            this->sendAwaits(found->first, found->second, effects);
        }
    }
    runAll(effects);
}

auto ReplicationTracker::awaitEnded(std::string_view group, std::string_view endpoint,
                                    std::optional<Position> position) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->groups.find(group);
        if (found == this->groups.end())
            return;
        auto &progress = found->second;
        const auto replica = progress.endpoints.find(endpoint);
        if (replica == progress.endpoints.end())
            return;
        replica->second.awaiting = false;
        replica->second.failed = !position || position->term != progress.term;
        if (!replica->second.failed) {
            replica->second.index = std::max(replica->second.index, position->index);
            completeWaiters(progress, effects);
            this->sendAwaits(found->first, progress, effects);
        }
    }
    runAll(effects);
}

auto ReplicationTracker::expire(TimePoint now) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        for (auto &[name, progress] : this->groups) {
            auto kept = std::vector<detail::MajorityWaiter>();
            for (auto &waiter : progress.waiters) {
                if (waiter.deadline > now)
                    kept.push_back(std::move(waiter));
                else
                    effects.emplace_back([done = std::move(waiter.done)] { done(false); });
            }
            progress.waiters = std::move(kept);
            for (auto &[endpoint, replica] : progress.endpoints)
                replica.failed = false;
            this->sendAwaits(name, progress, effects);
        }
    }
    runAll(effects);
}

auto ReplicationTracker::nextDeadline() -> std::optional<TimePoint>
{
    const RankedLock lock(this->mutex);
    auto next = std::optional<TimePoint>();
    for (const auto &[name, progress] : this->groups) {
        for (const auto &waiter : progress.waiters)
            next = std::min(next.value_or(waiter.deadline), waiter.deadline);
    }
    return next;
}

auto ReplicationTracker::completeWaiters(detail::GroupProgress &progress, Effects &effects) -> void
{
    const auto index = majorityIndex(progress);
    auto kept = std::vector<detail::MajorityWaiter>();
    for (auto &waiter : progress.waiters) {
        if (waiter.index > index || progress.endpoints.empty())
            kept.push_back(std::move(waiter));
        else
            effects.emplace_back([done = std::move(waiter.done)] { done(true); });
    }
    progress.waiters = std::move(kept);
}

auto ReplicationTracker::sendAwaits(const std::string &group, detail::GroupProgress &progress,
                                    Effects &effects) -> void
{
    if (progress.waiters.empty())
        return;
    // Awaiting the lowest index completes the first wait as early as possible.
    const auto lowest = std::min_element(progress.waiters.begin(), progress.waiters.end(),
                                         [](const auto &left, const auto &right) {
                                             return left.index < right.index;
                                         })
                            ->index;
    for (auto &[name, replica] : progress.endpoints) {
        if (replica.awaiting || replica.failed || replica.index >= lowest)
            continue;
        replica.awaiting = true;
        effects.emplace_back([this, group, endpoint = name,
                              position = Position{.term = progress.term, .index = lowest}] {
            this->hooks.sendAwait(group, endpoint, position);
        });
    }
}

} // namespace auburnrail
