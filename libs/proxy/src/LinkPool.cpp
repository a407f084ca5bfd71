#include <proxy/LinkPool.h>

#include <request/ObjectiveTime.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <tuple>

namespace auburnrail {

namespace {

auto expiredStatus() -> absl::Status
{
    return absl::ResourceExhaustedError("no connection was free before the deadline");
}

auto countOpening(const detail::EndpointLinks &links, const std::string &organisation)
    -> std::ptrdiff_t
{
    return std::count_if(links.opening.begin(), links.opening.end(),
                         [&](const auto &row) { return row.second == organisation; });
}

} // namespace

LinkPool::LinkPool(LinkPoolHooks poolHooks)
    : hooks(std::move(poolHooks))
{
}

auto LinkPool::linksOf(std::string_view endpoint) -> detail::EndpointLinks &
{
    const auto found = this->endpoints.find(endpoint);
    if (found != this->endpoints.end())
        return found->second;
    auto &links = this->endpoints[std::string(endpoint)];
    links.limit = DEFAULT_LIMIT;
    return links;
}

auto LinkPool::run(const Effects &effects) -> void
{
    for (const auto &effect : effects)
        effect();
}

auto LinkPool::setLimit(std::string_view endpoint, std::size_t limit) -> void
{
    const RankedLock lock(this->mutex);
    auto &links = this->linksOf(endpoint);
    links.limit = std::max<std::size_t>(limit, 1);
    links.removed = false;
}

auto LinkPool::acquire(const LinkOrder &order, TimePoint now, Done done) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        auto &links = this->linksOf(order.endpoint);
        if (links.waiters.size() >= MAX_WAITERS) {
            effects.emplace_back([done = std::move(done)] {
                done(absl::ResourceExhaustedError("too many statements wait for a connection"));
            });
        } else {
            links.waiters.push_back({.organisation = order.organisation,
                                     .priority = order.priority,
                                     .since = now,
                                     .objectiveEnd = order.objectiveEnd,
                                     .deadline = order.deadline,
                                     .done = std::move(done)});
            this->serveWaiters(order.endpoint, links, now, effects);
        }
    }
    run(effects);
}

auto LinkPool::release(const ConnectionHandle &handle, bool reusable, TimePoint now) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        auto &links = this->linksOf(handle.endpoint);
        auto row = links.inUse.extract(handle.id);
        if (row.empty())
            return;
        if (reusable && !links.removed && links.used() < links.limit)
            links.idle.push_back({handle.id, std::move(row.mapped()), now});
        else
            effects.emplace_back([this, handle] { this->hooks.close(handle); });
        this->serveWaiters(handle.endpoint, links, now, effects);
    }
    run(effects);
}

auto LinkPool::opened(const ConnectionHandle &handle, TimePoint now) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        auto &links = this->linksOf(handle.endpoint);
        auto row = links.opening.extract(handle.id);
        if (row.empty())
            return;
        if (links.removed)
            effects.emplace_back([this, handle] { this->hooks.close(handle); });
        else
            links.idle.push_back({handle.id, std::move(row.mapped()), now});
        this->serveWaiters(handle.endpoint, links, now, effects);
    }
    run(effects);
}

auto LinkPool::openFailed(const ConnectionHandle &handle, const absl::Status &status, TimePoint now)
    -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        auto &links = this->linksOf(handle.endpoint);
        auto row = links.opening.extract(handle.id);
        if (row.empty())
            return;
        if (absl::IsResourceExhausted(status)) {
            links.fullUntil = now + FULL_PAUSE_MS;
        } else {
            const auto waiter =
                std::find_if(links.waiters.begin(), links.waiters.end(),
                             [&](const auto &other) { return other.organisation == row.mapped(); });
            if (waiter != links.waiters.end()) {
                effects.emplace_back([done = std::move(waiter->done), status] {
                    done(absl::UnavailableError(status.message()));
                });
                links.waiters.erase(waiter);
            }
        }
        this->serveWaiters(handle.endpoint, links, now, effects);
    }
    run(effects);
}

auto LinkPool::lost(const ConnectionHandle &handle) -> void
{
    auto isIdle = false;
    {
        const RankedLock lock(this->mutex);
        auto &links = this->linksOf(handle.endpoint);
        isIdle =
            std::erase_if(links.idle, [&](const auto &idle) { return idle.id == handle.id; }) > 0;
    }
    if (isIdle)
        this->hooks.close(handle);
}

auto LinkPool::advance(TimePoint now, Duration idleLimit) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        for (auto &[endpoint, links] : this->endpoints) {
            for (auto waiter = links.waiters.begin(); waiter != links.waiters.end();) {
                if (waiter->deadline > now) {
                    ++waiter;
                    continue;
                }
                effects.emplace_back([done = std::move(waiter->done)] { done(expiredStatus()); });
                waiter = links.waiters.erase(waiter);
            }
            while (!links.idle.empty() && now - links.idle.front().since > idleLimit) {
                const auto handle = ConnectionHandle{endpoint, links.idle.front().id};
                links.idle.erase(links.idle.begin());
                effects.emplace_back([this, handle] { this->hooks.close(handle); });
            }
            if (!links.waiters.empty())
                this->serveWaiters(endpoint, links, now, effects);
        }
    }
    run(effects);
}

auto LinkPool::remove(std::string_view endpoint) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->endpoints.find(endpoint);
        if (found == this->endpoints.end())
            return;
        auto &links = found->second;
        links.removed = true;
        for (const auto &idle : links.idle) {
            effects.emplace_back([this, handle = ConnectionHandle{found->first, idle.id}] {
                this->hooks.close(handle);
            });
        }
        links.idle.clear();
        for (auto &waiter : links.waiters) {
            effects.emplace_back([done = std::move(waiter.done)] {
                done(absl::UnavailableError("the server was removed"));
            });
        }
        links.waiters.clear();
    }
    run(effects);
}

auto LinkPool::hasIdle(std::string_view endpoint, std::string_view organisation) -> bool
{
    const RankedLock lock(this->mutex);
    const auto found = this->endpoints.find(endpoint);
    return found != this->endpoints.end()
           && std::any_of(found->second.idle.begin(), found->second.idle.end(),
                          [&](const auto &idle) { return idle.organisation == organisation; });
}

auto LinkPool::serveWaiters(const std::string &endpoint, detail::EndpointLinks &links,
                            TimePoint now, Effects &effects) -> void
{
    links.waiters.sort([now](const auto &left, const auto &right) {
        const auto rank = [now](const auto &waiter) {
            return std::tuple(waiter.priority, missesObjective(waiter.objectiveEnd, now));
        };
        return rank(left) < rank(right);
    });
    auto awaited = std::map<std::string, std::ptrdiff_t>(); ///< Waiters passed, by organisation.
    for (auto waiter = links.waiters.begin(); waiter != links.waiters.end();) {
        // The connection used last is the one that the server is least likely to have closed.
        const auto idle =
            std::find_if(links.idle.rbegin(), links.idle.rend(), [&](const auto &candidate) {
                return candidate.organisation == waiter->organisation;
            });
        if (idle != links.idle.rend()) {
            const auto handle = ConnectionHandle{endpoint, idle->id};
            links.inUse.emplace(idle->id, idle->organisation);
            links.idle.erase(std::next(idle).base());
            effects.emplace_back([done = std::move(waiter->done), handle] { done(handle); });
            waiter = links.waiters.erase(waiter);
            continue;
        }
        auto &sameBefore = awaited[waiter->organisation];
        const auto isCovered = countOpening(links, waiter->organisation) > sameBefore;
        ++sameBefore;
        if (!isCovered && now >= links.fullUntil)
            this->openFor(endpoint, *waiter, links, now, effects);
        ++waiter;
    }
}

auto LinkPool::openFor(const std::string &endpoint, const detail::EndpointLinks::Waiter &waiter,
                       detail::EndpointLinks &links, TimePoint now, Effects &effects) -> void
{
    if (links.used() >= links.limit && !links.idle.empty()) {
        const auto given = ConnectionHandle{endpoint, links.idle.front().id};
        links.idle.erase(links.idle.begin());
        effects.emplace_back([this, given] { this->hooks.close(given); });
    } else if (links.used() >= links.limit) {
        const auto mayBorrow =
            now - waiter.since >= BORROW_AFTER_MS && links.used() < 2 * links.limit + 1;
        if (!mayBorrow)
            return;
    }
    const auto handle = ConnectionHandle{endpoint, ++this->lastId};
    links.opening.emplace(handle.id, waiter.organisation);
    effects.emplace_back([this, handle, organisation = waiter.organisation] {
        this->hooks.open(handle, organisation);
    });
}

} // namespace auburnrail
