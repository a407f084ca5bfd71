#include <proxy/ServerConnectionPool.h>

#include <request/ObjectiveTime.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburnrail {

namespace {

/// Part of the expected time that is kept in reserve, since it varies.
constexpr auto EXPECTED_TIME_RESERVE_DIVISOR = 4;

/// Connections that may be in use, relative to the entry's share, for a holder and for any other
/// entry.
constexpr auto HOLDER_FACTOR = std::size_t(6);
constexpr auto USUAL_FACTOR = std::size_t(2);

auto expiredStatus() -> absl::Status
{
    return absl::DeadlineExceededError("no connection was free before the deadline");
}

auto tooLateStatus() -> absl::Status
{
    return absl::DeadlineExceededError("a new connection would be too late");
}

/// Whether a connection opened now would come too late for the waiter's statement. Only judged
/// after half of its time, because what was measured may be out of date.
auto missesDeadline(const detail::ServerPoolState::Waiter &waiter,
                    const detail::ServerPoolState &server, TimePoint now) -> bool
{
    const auto halfTime = waiter.since + (waiter.deadline - waiter.since) / 2;
    const auto expected = server.openingTime.value(now) + server.runTime.value(now);
    return now >= halfTime
           && now + expected + expected / EXPECTED_TIME_RESERVE_DIVISOR > waiter.deadline;
}

/// Connections that may be in use at one time. An entry that holds connections for others has all
/// transactions of some organisations, and those that rest keep their connection; the other holders
/// don't need theirs then. The server refuses what is beyond its own limit.
auto greatestUse(const detail::ServerPoolState &server) -> std::size_t
{
    const auto isHolder = server.idlePolicy == IdlePolicy::Hold;
    return (isHolder ? HOLDER_FACTOR : USUAL_FACTOR) * server.limit + 1;
}

auto countOpening(const detail::ServerPoolState &server, const std::string &organisation)
    -> std::ptrdiff_t
{
    return std::count_if(server.opening.begin(), server.opening.end(),
                         [&](const auto &row) { return row.second.organisation == organisation; });
}

} // namespace

ServerConnectionPool::ServerConnectionPool(ServerConnectionPoolHooks poolHooks)
    : hooks(std::move(poolHooks))
{
}

auto ServerConnectionPool::serverOf(std::string_view endpoint) -> detail::ServerPoolState &
{
    const auto found = this->endpoints.find(endpoint);
    if (found != this->endpoints.end())
        return found->second;
    auto &server = this->endpoints[std::string(endpoint)];
    server.limit = DEFAULT_LIMIT;
    return server;
}

auto ServerConnectionPool::run(const Effects &effects) -> void
{
    for (const auto &effect : effects)
        effect();
}

auto ServerConnectionPool::setLimit(std::string_view endpoint, std::size_t limit,
                                    IdlePolicy idlePolicy) -> void
{
    const RankedLock lock(this->mutex);
    auto &server = this->serverOf(endpoint);
    server.idlePolicy = idlePolicy;
    server.limit = std::max<std::size_t>(limit, 1);
    server.removed = false;
}

auto ServerConnectionPool::acquire(const ConnectionRequest &request, TimePoint now, Done done)
    -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        auto &server = this->serverOf(request.endpoint);
        const auto isRefusedProbe =
            request.anyOrganisation && server.idle.empty() && server.used() >= server.limit;
        if (isRefusedProbe) {
            effects.emplace_back([done = std::move(done)] {
                done(absl::ResourceExhaustedError("every connection is in use"));
            });
        } else if (server.waiters.size() >= MAX_WAITERS) {
            effects.emplace_back([done = std::move(done)] {
                done(absl::ResourceExhaustedError("too many statements wait for a connection"));
            });
        } else {
            server.waiters.push_back({.organisation = request.organisation,
                                      .anyOrganisation = request.anyOrganisation,
                                      .priority = request.priority,
                                      .since = now,
                                      .objectiveEnd = request.objectiveEnd,
                                      .deadline = request.deadline,
                                      .opensTransaction = request.opensTransaction,
                                      .done = std::move(done)});
            this->serveWaiters(request.endpoint, server, now, effects);
        }
    }
    run(effects);
}

auto ServerConnectionPool::release(const ConnectionHandle &handle, bool reusable, TimePoint now)
    -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        auto &server = this->serverOf(handle.endpoint);
        auto row = server.inUse.extract(handle.id);
        if (row.empty())
            return;
        if (!row.mapped().opensTransaction)
            server.runTime.add(now - row.mapped().since, now);
        if (reusable && !server.removed && server.used() < server.limit)
            server.idle.push_back({handle.id, std::move(row.mapped().organisation), now});
        else
            effects.emplace_back([this, handle] { this->hooks.close(handle); });
        this->serveWaiters(handle.endpoint, server, now, effects);
        this->closeUnneeded(handle.endpoint, server, effects);
    }
    run(effects);
}

auto ServerConnectionPool::closeUnneeded(const std::string &endpoint,
                                         detail::ServerPoolState &server, Effects &effects) -> void
{
    if (server.idlePolicy == IdlePolicy::Close)
        this->closeIdle(endpoint, server, effects);
}

auto ServerConnectionPool::closeIdle(const std::string &endpoint, detail::ServerPoolState &server,
                                     Effects &effects) -> void
{
    for (const auto &idle : std::exchange(server.idle, {})) {
        effects.emplace_back(
            [this, handle = ConnectionHandle{endpoint, idle.id}] { this->hooks.close(handle); });
    }
}

auto ServerConnectionPool::opened(const ConnectionHandle &handle, TimePoint now) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        auto &server = this->serverOf(handle.endpoint);
        auto row = server.opening.extract(handle.id);
        if (row.empty())
            return;
        if (server.removed)
            effects.emplace_back([this, handle] { this->hooks.close(handle); });
        else
            server.idle.push_back({handle.id, std::move(row.mapped().organisation), now});
        server.openingTime.add(now - row.mapped().since, now);
        this->serveWaiters(handle.endpoint, server, now, effects);
        this->closeUnneeded(handle.endpoint, server, effects);
    }
    run(effects);
}

auto ServerConnectionPool::openFailed(const ConnectionHandle &handle, const absl::Status &status,
                                      TimePoint now) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        auto &server = this->serverOf(handle.endpoint);
        auto row = server.opening.extract(handle.id);
        if (row.empty())
            return;
        if (absl::IsResourceExhausted(status)) {
            server.fullUntil = now + FULL_SERVER_RETRY_MS;
        } else {
            const auto waiter =
                std::find_if(server.waiters.begin(), server.waiters.end(), [&](const auto &other) {
                    return other.organisation == row.mapped().organisation;
                });
            if (waiter != server.waiters.end()) {
                effects.emplace_back([done = std::move(waiter->done), status] {
                    done(absl::UnavailableError(status.message()));
                });
                server.waiters.erase(waiter);
            }
        }
        this->serveWaiters(handle.endpoint, server, now, effects);
    }
    run(effects);
}

auto ServerConnectionPool::lost(const ConnectionHandle &handle) -> void
{
    auto isIdle = false;
    {
        const RankedLock lock(this->mutex);
        auto &server = this->serverOf(handle.endpoint);
        isIdle =
            std::erase_if(server.idle, [&](const auto &idle) { return idle.id == handle.id; }) > 0;
    }
    if (isIdle)
        this->hooks.close(handle);
}

auto ServerConnectionPool::advance(TimePoint now, Duration idleLimit) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        for (auto &[endpoint, server] : this->endpoints) {
            for (auto waiter = server.waiters.begin(); waiter != server.waiters.end();) {
                if (waiter->deadline > now) {
                    ++waiter;
                    continue;
                }
                effects.emplace_back([done = std::move(waiter->done)] { done(expiredStatus()); });
                waiter = server.waiters.erase(waiter);
            }
            const auto limit =
                server.idlePolicy == IdlePolicy::Hold ? HELD_IDLE_LIMIT_S : idleLimit;
            while (!server.idle.empty() && now - server.idle.front().since > limit) {
                const auto handle = ConnectionHandle{endpoint, server.idle.front().id};
                server.idle.erase(server.idle.begin());
                effects.emplace_back([this, handle] { this->hooks.close(handle); });
            }
            if (!server.waiters.empty())
                this->serveWaiters(endpoint, server, now, effects);
        }
    }
    run(effects);
}

auto ServerConnectionPool::remove(std::string_view endpoint) -> void
{
    auto effects = Effects();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->endpoints.find(endpoint);
        if (found == this->endpoints.end())
            return;
        auto &server = found->second;
        server.removed = true;
        this->closeIdle(found->first, server, effects);
        for (auto &waiter : server.waiters) {
            effects.emplace_back([done = std::move(waiter.done)] {
                done(absl::UnavailableError("the server was removed"));
            });
        }
        server.waiters.clear();
    }
    run(effects);
}

auto ServerConnectionPool::hasIdle(std::string_view endpoint, std::string_view organisation) -> bool
{
    const RankedLock lock(this->mutex);
    const auto found = this->endpoints.find(endpoint);
    return found != this->endpoints.end()
           && std::any_of(found->second.idle.begin(), found->second.idle.end(),
                          [&](const auto &idle) { return idle.organisation == organisation; });
}

auto ServerConnectionPool::serveWaiters(const std::string &endpoint,
                                        detail::ServerPoolState &server, TimePoint now,
                                        Effects &effects) -> void
{
    server.waiters.sort([now](const auto &left, const auto &right) {
        const auto rank = [now](const auto &waiter) {
            return std::tuple(waiter.priority, missesObjective(waiter.objectiveEnd, now));
        };
        return rank(left) < rank(right);
    });
    auto waitersPassed =
        std::map<std::string, std::ptrdiff_t>(); ///< Earlier waiters by organisation.
    for (auto waiter = server.waiters.begin(); waiter != server.waiters.end();) {
        // The server is least likely to have closed the most recently used connection.
        const auto idle =
            std::find_if(server.idle.rbegin(), server.idle.rend(), [&](const auto &candidate) {
                return waiter->anyOrganisation || candidate.organisation == waiter->organisation;
            });
        if (idle != server.idle.rend()) {
            const auto handle = ConnectionHandle{endpoint, idle->id};
            server.inUse.emplace(idle->id, detail::ServerPoolState::Use{
                                               idle->organisation, waiter->opensTransaction, now});
            server.idle.erase(std::next(idle).base());
            effects.emplace_back([done = std::move(waiter->done), handle] { done(handle); });
            waiter = server.waiters.erase(waiter);
            continue;
        }
        auto &waitersBefore = waitersPassed[waiter->organisation];
        const auto isCovered = countOpening(server, waiter->organisation) > waitersBefore;
        if (!isCovered && missesDeadline(*waiter, server, now)) {
            effects.emplace_back([done = std::move(waiter->done)] { done(tooLateStatus()); });
            waiter = server.waiters.erase(waiter);
            continue;
        }
        ++waitersBefore;
        if (!isCovered && now >= server.fullUntil)
            this->openFor(endpoint, *waiter, server, now, effects);
        ++waiter;
    }
}

auto ServerConnectionPool::openFor(const std::string &endpoint,
                                   const detail::ServerPoolState::Waiter &waiter,
                                   detail::ServerPoolState &server, TimePoint now, Effects &effects)
    -> void
{
    if (server.used() >= server.limit && !server.idle.empty()) {
        const auto evicted = ConnectionHandle{endpoint, server.idle.front().id};
        server.idle.erase(server.idle.begin());
        effects.emplace_back([this, evicted] { this->hooks.close(evicted); });
    } else if (server.used() >= server.limit) {
        const auto mayExceedLimit =
            now - waiter.since >= EXCEED_LIMIT_AFTER_MS && server.used() < greatestUse(server);
        if (!mayExceedLimit)
            return;
    }
    const auto handle = ConnectionHandle{endpoint, ++this->lastId};
    server.opening.emplace(handle.id, detail::ServerPoolState::Opening{waiter.organisation, now});
    effects.emplace_back([this, handle, organisation = waiter.organisation] {
        this->hooks.open(handle, organisation);
    });
}

} // namespace auburnrail
