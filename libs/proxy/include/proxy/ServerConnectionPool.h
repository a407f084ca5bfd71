#ifndef AUBURNRAIL_PROXY_SERVERCONNECTIONPOOL_H
#define AUBURNRAIL_PROXY_SERVERCONNECTIONPOOL_H

#include <proxy/ConnectionRequest.h>
#include <proxy/ServerConnectionPoolHooks.h>
#include <proxy/detail/ServerPoolState.h>

#include <core/RankedMutex.h>

#include <absl/base/thread_annotations.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// Tracks the connections to each server and hands them out. Each connection belongs to one
/// organisation. Designed for servers that accept fewer connections than there are pairs of
/// organisation and entry, and where opening a connection occupies a slot of the server for as long
/// as a statement does.
///
/// Waiters are served by priority; within a priority, those that can still meet their latency
/// objective come first. A waiter gets an idle connection of its organisation. If there is none, a
/// connection is opened while the entry is below its limit; at the limit, the connection that has
/// been idle for longest is closed to make room. None is opened for a waiter whose statement would
/// miss its deadline, judged by how long the last openings and statements took. The pool does no
/// I/O itself. Thread-safe.
class ServerConnectionPool
{
public:
    using Done = detail::ServerPoolState::Done;

    /// Limit of a server for which setLimit() has not been called.
    static constexpr auto DEFAULT_LIMIT = std::size_t(2);
    /// Wait before another connection is opened to a server that had none left. About the time that
    /// a statement holds a connection.
    static constexpr auto FULL_SERVER_RETRY_MS = std::chrono::milliseconds(30);
    /// After waiting this long, a waiter may get a connection beyond the entry's limit. All entries
    /// are seldom at their limits at the same time, and the server refuses connections beyond its
    /// own. About the time that a short statement holds a connection.
    static constexpr auto EXCEED_LIMIT_AFTER_MS = std::chrono::milliseconds(20);
    /// Idle time after which a connection with IdlePolicy::Hold is closed. Well below the time
    /// after which servers close idle connections themselves.
    static constexpr auto HELD_IDLE_LIMIT_S = Duration(std::chrono::seconds(10));

    static constexpr auto MAX_WAITERS = std::size_t(256);

    explicit ServerConnectionPool(ServerConnectionPoolHooks poolHooks);

    /// Sets the number of connections to the server that this entry may hold, and whether it keeps
    /// them while they are not in use.
    auto setLimit(std::string_view endpoint, std::size_t limit,
                  IdlePolicy idlePolicy = IdlePolicy::Keep) -> void;

    /// Calls `done` with a connection for exclusive use, during this call or later. Errors:
    /// `kResourceExhausted` when the queue is full, `kDeadlineExceeded` when the deadline passes or
    /// a new connection would leave too little time before it, `kUnavailable` when opening fails or
    /// the server is removed.
    auto acquire(const ConnectionRequest &request, TimePoint now, Done done) -> void;

    /// Returns a connection to the pool. One that is not `reusable` is closed.
    auto release(const ConnectionHandle &handle, bool reusable, TimePoint now) -> void;

    auto opened(const ConnectionHandle &handle, TimePoint now) -> void;

    /// `kResourceExhausted` means that the server has no connection left; waiters keep waiting. Any
    /// other error fails one waiter, which may try another server.
    auto openFailed(const ConnectionHandle &handle, const absl::Status &status, TimePoint now)
        -> void;

    /// The server closed an idle connection.
    auto lost(const ConnectionHandle &handle) -> void;

    /// Fails waiters whose deadline has passed, closes connections that were idle for longer than
    /// `idleLimit` and retries servers that had no connection left. Must be called every few tens
    /// of milliseconds.
    auto advance(TimePoint now, Duration idleLimit) -> void;

    /// Closes the idle connections to a server and fails its waiters. Connections in use are closed
    /// when they are released.
    auto remove(std::string_view endpoint) -> void;

    /// Whether a connection of the organisation is idle.
    [[nodiscard]] auto hasIdle(std::string_view endpoint, std::string_view organisation) -> bool;

private:
    using Effects = std::vector<std::function<auto()->void>>;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto serverOf(std::string_view endpoint) -> detail::ServerPoolState &;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto serveWaiters(const std::string &endpoint, detail::ServerPoolState &server, TimePoint now,
                      Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto openFor(const std::string &endpoint, const detail::ServerPoolState::Waiter &waiter,
                 detail::ServerPoolState &server, TimePoint now, Effects &effects) -> void;
    /// Closes what the server's idle policy does not keep.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto closeUnneeded(const std::string &endpoint, detail::ServerPoolState &server,
                       Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto closeIdle(const std::string &endpoint, detail::ServerPoolState &server, Effects &effects)
        -> void;
    static auto run(const Effects &effects) -> void;

    ServerConnectionPoolHooks hooks;
    RankedMutex mutex{LockRank::ConnectionPool};
    std::map<std::string, detail::ServerPoolState, std::less<>> endpoints ABSL_GUARDED_BY(mutex);
    std::uint64_t lastId ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace auburnrail

#endif
