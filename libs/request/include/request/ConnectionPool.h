#ifndef AUBURNRAIL_REQUEST_CONNECTIONPOOL_H
#define AUBURNRAIL_REQUEST_CONNECTIONPOOL_H

#include <request/ConnectionHandle.h>
#include <request/ConnectionPoolHooks.h>
#include <request/detail/EndpointConnections.h>

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// Tracks the connections to each endpoint. The idle, in-use and opening connections together stay
/// within the endpoint's limit; further requests wait. Performs no I/O. Thread-safe.
class ConnectionPool
{
public:
    using Done = detail::EndpointConnections::Done;

    static constexpr auto DEFAULT_CONNECTION_LIMIT = std::size_t{20};
    static constexpr auto DEFAULT_WAITER_LIMIT = std::size_t{256};

    explicit ConnectionPool(ConnectionPoolHooks hooks);

    /// Sets the limit of one endpoint; idle connections over it are closed.
    auto setLimit(std::string_view endpoint, std::size_t limit) -> void;

    /// Calls `done`, immediately or later, with a connection for exclusive use. Errors:
    /// `kResourceExhausted` when the queue is full or the deadline passes, `kUnavailable` when
    /// opening fails or the endpoint is removed.
    auto acquire(std::string_view endpoint, std::string_view organisation, std::uint32_t weight,
                 TimePoint deadline, TimePoint now, Done done) -> void;

    /// Returns a connection to the pool. Unless `reusable`, it is closed and never reused.
    auto release(const ConnectionHandle &handle, bool reusable, TimePoint now) -> void;

    /// Reports the result of hooks.open.
    auto opened(const ConnectionHandle &handle, TimePoint now) -> void;
    auto openFailed(const ConnectionHandle &handle, const absl::Status &status, TimePoint now)
        -> void;

    /// Reports that an idle connection was closed by the endpoint.
    auto lost(const ConnectionHandle &handle, TimePoint now) -> void;

    /// Fails the waiters whose deadline has passed.
    auto expire(TimePoint now) -> void;
    [[nodiscard]] auto nextDeadline() -> std::optional<TimePoint>;

    /// Closes idle connections and fails waiters; connections in use are closed on release.
    auto removeEndpoint(std::string_view endpoint) -> void;

    [[nodiscard]] auto stats(std::string_view endpoint) -> ConnectionPoolStats;

private:
    using Effects = std::vector<std::function<auto()->void>>;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto connectionsOf(std::string_view endpoint) -> detail::EndpointConnections &;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto serveWaiters(const std::string &endpoint, detail::EndpointConnections &connections,
                      TimePoint now, Effects &effects) -> void;
    static auto run(const Effects &effects) -> void;

    ConnectionPoolHooks hooks;
    RankedMutex mutex{LockRank::ConnectionPool};
    std::map<std::string, detail::EndpointConnections, std::less<>>
        endpoints ABSL_GUARDED_BY(mutex);
    std::uint64_t lastId ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace auburnrail

#endif
