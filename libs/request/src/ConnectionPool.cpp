#include <request/ConnectionPool.h>

#include <core/RankedLock.h>

#include <algorithm>

namespace auburnrail {

namespace {

auto connectionCount(const detail::EndpointConnections &connections) -> std::size_t
{
    return connections.idle.size() + connections.inUse.size() + connections.opening.size();
}

auto expiredStatus() -> absl::Status
{
    return absl::ResourceExhaustedError("no connection was free before the deadline");
}

} // namespace

ConnectionPool::ConnectionPool(ConnectionPoolHooks hooks)
    : hooks(std::move(hooks))
{
    if (!this->hooks.makeQueue)
        this->hooks.makeQueue = [] {
            return makeFifoWaiterQueue(DEFAULT_WAITER_LIMIT);
        };
}

auto ConnectionPool::setLimit(std::string_view endpoint, std::size_t limit) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        auto &connections = this->connectionsOf(endpoint);
        connections.limit = limit;
        while (connectionCount(connections) > limit && !connections.idle.empty()) {
            const auto handle =
                ConnectionHandle{.endpoint = std::string(endpoint), .id = connections.idle.front()};
            connections.idle.erase(connections.idle.begin());
            effects.emplace_back([this, handle] { this->hooks.close(handle); });
        }
    }
    run(effects);
}

auto ConnectionPool::acquire(std::string_view endpoint, std::string_view organisation,
                             std::uint32_t weight, TimePoint deadline, TimePoint now, Done done)
    -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        auto &connections = this->connectionsOf(endpoint);
        connections.removed = false;
        const auto waiter = ConnectionWaiter{.id = ++this->lastId,
                                             .organisation = std::string(organisation),
                                             .weight = weight,
                                             .deadline = deadline};
        if (connections.queue.push(waiter, now)) {
            connections.waiting[waiter.id] = {.deadline = deadline, .done = std::move(done)};
            this->serveWaiters(std::string(endpoint), connections, now, effects);
        } else {
            effects.emplace_back([done = std::move(done)] {
                done(absl::ResourceExhaustedError("too many requests wait for a connection"));
            });
        }
    }
    run(effects);
}

auto ConnectionPool::release(const ConnectionHandle &handle, bool reusable, TimePoint now) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        auto &connections = this->connectionsOf(handle.endpoint);
        if (connections.inUse.erase(handle.id) == 0)
            return;
        if (reusable && !connections.removed && connectionCount(connections) < connections.limit)
            connections.idle.push_back(handle.id);
        else
            effects.emplace_back([this, handle] { this->hooks.close(handle); });
        this->serveWaiters(handle.endpoint, connections, now, effects);
    }
    run(effects);
}

auto ConnectionPool::opened(const ConnectionHandle &handle, TimePoint now) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        auto &connections = this->connectionsOf(handle.endpoint);
        if (connections.opening.erase(handle.id) == 0)
            return;
        if (connections.removed)
            effects.emplace_back([this, handle] { this->hooks.close(handle); });
        else
            connections.idle.push_back(handle.id);
        this->serveWaiters(handle.endpoint, connections, now, effects);
    }
    run(effects);
}

auto ConnectionPool::openFailed(const ConnectionHandle &handle, const absl::Status &status,
                                TimePoint now) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        auto &connections = this->connectionsOf(handle.endpoint);
        if (connections.opening.erase(handle.id) == 0)
            return;
        // Fails one waiter, which may try another endpoint; the others get another attempt.
        while (const auto id = connections.queue.pop(now)) {
            auto waiter = connections.waiting.extract(*id);
            if (waiter.empty())
                continue;
            effects.emplace_back([done = std::move(waiter.mapped().done), status] {
                done(absl::UnavailableError(status.message()));
            });
            break;
        }
        this->serveWaiters(handle.endpoint, connections, now, effects);
    }
    run(effects);
}

auto ConnectionPool::lost(const ConnectionHandle &handle, TimePoint now) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        auto &connections = this->connectionsOf(handle.endpoint);
        const auto found = std::find(connections.idle.begin(), connections.idle.end(), handle.id);
        if (found == connections.idle.end())
            return;
        connections.idle.erase(found);
        effects.emplace_back([this, handle] { this->hooks.close(handle); });
        this->serveWaiters(handle.endpoint, connections, now, effects);
    }
    run(effects);
}

auto ConnectionPool::expire(TimePoint now) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        for (auto &[name, connections] : this->endpoints) {
            for (auto row = connections.waiting.begin(); row != connections.waiting.end();) {
                if (row->second.deadline > now) {
                    ++row;
                    continue;
                }
                connections.queue.remove(row->first);
                effects.emplace_back(
                    [done = std::move(row->second.done)] { done(expiredStatus()); });
                row = connections.waiting.erase(row);
            }
        }
    }
    run(effects);
}

auto ConnectionPool::nextDeadline() -> std::optional<TimePoint>
{
    const RankedLock lock(this->mutex);
    auto next = std::optional<TimePoint>();
    for (const auto &[name, connections] : this->endpoints) {
        for (const auto &[id, waiter] : connections.waiting)
            next = std::min(next.value_or(waiter.deadline), waiter.deadline);
    }
    return next;
}

auto ConnectionPool::removeEndpoint(std::string_view endpoint) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->endpoints.find(endpoint);
        if (found == this->endpoints.end())
            return;
        auto &connections = found->second;
        connections.removed = true;
        for (const auto id : connections.idle) {
            const auto handle = ConnectionHandle{.endpoint = found->first, .id = id};
            effects.emplace_back([this, handle] { this->hooks.close(handle); });
        }
        connections.idle.clear();
        for (auto &[id, waiter] : connections.waiting) {
            connections.queue.remove(id);
            effects.emplace_back([done = std::move(waiter.done)] {
                done(absl::UnavailableError("the endpoint was removed"));
            });
        }
        connections.waiting.clear();
    }
    run(effects);
}

auto ConnectionPool::stats(std::string_view endpoint) -> ConnectionPoolStats
{
    const RankedLock lock(this->mutex);
    const auto &connections = this->connectionsOf(endpoint);
    return ConnectionPoolStats{.limit = connections.limit,
                               .idle = connections.idle.size(),
                               .inUse = connections.inUse.size(),
                               .opening = connections.opening.size(),
                               .waiting = connections.waiting.size()};
}

auto ConnectionPool::connectionsOf(std::string_view endpoint) -> detail::EndpointConnections &
{
    const auto found = this->endpoints.find(endpoint);
    if (found != this->endpoints.end())
        return found->second;
    auto &connections = this->endpoints[std::string(endpoint)];
    connections.limit = DEFAULT_CONNECTION_LIMIT;
    connections.queue = this->hooks.makeQueue();
    return connections;
}

auto ConnectionPool::serveWaiters(const std::string &endpoint,
                                  detail::EndpointConnections &connections, TimePoint now,
                                  Effects &effects) -> void
{
    while (!connections.idle.empty()) {
        const auto id = connections.queue.pop(now);
        if (!id)
            break;
        auto waiter = connections.waiting.extract(*id);
        if (waiter.empty())
            continue;
        if (waiter.mapped().deadline <= now) {
            effects.emplace_back(
                [done = std::move(waiter.mapped().done)] { done(expiredStatus()); });
            continue;
        }
        const auto handle = ConnectionHandle{.endpoint = endpoint, .id = connections.idle.back()};
        connections.idle.pop_back();
        connections.inUse.insert(handle.id);
        effects.emplace_back([done = std::move(waiter.mapped().done), handle] { done(handle); });
    }
    while (connections.opening.size() < connections.waiting.size()
           && connectionCount(connections) < connections.limit) {
        const auto handle = ConnectionHandle{.endpoint = endpoint, .id = ++this->lastId};
        connections.opening.insert(handle.id);
        effects.emplace_back([this, handle] { this->hooks.open(handle); });
    }
}

auto ConnectionPool::run(const Effects &effects) -> void
{
    for (const auto &effect : effects)
        effect();
}

} // namespace auburnrail
