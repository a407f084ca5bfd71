#ifndef AUBURNRAIL_PROXY_LINKPOOL_H
#define AUBURNRAIL_PROXY_LINKPOOL_H

#include <proxy/LinkOrder.h>
#include <proxy/LinkPoolHooks.h>
#include <proxy/detail/EndpointLinks.h>

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

/// Bookkeeping of the connections to each server, which belong to one organisation each. Load
/// pattern: fewer connections than organisations times entries, where opening one takes a slot of
/// the server for as long as a statement does. Waiters are served by priority, those that can meet
/// their latency objective first. A waiter gets an idle connection of its
/// organisation; else one is opened while the entry is below its limit; else the connection that
/// was idle for longest is given up for it. It does no I/O. Safe from any thread.
class LinkPool
{
public:
    using Done = detail::EndpointLinks::Done;

    /// Before the fleet's share is known.
    static constexpr auto DEFAULT_LIMIT = std::size_t(2);
    /// A server that has no connection left is asked again after this; about the time that a
    /// statement holds one.
    static constexpr auto FULL_PAUSE_MS = std::chrono::milliseconds(30);
    /// A waiter that found no connection for this long may have one beyond the entry's limit: all
    /// entries are seldom at theirs together, and the server refuses what is too much. About the
    /// time that a short statement holds a connection.
    static constexpr auto BORROW_AFTER_MS = std::chrono::milliseconds(20);
    static constexpr auto MAX_WAITERS = std::size_t(256);

    explicit LinkPool(LinkPoolHooks poolHooks);

    /// Sets how many connections to the server this entry may hold.
    auto setLimit(std::string_view endpoint, std::size_t limit) -> void;

    /// Calls `done` with a connection for the caller's sole use, now or later. Errors:
    /// `kResourceExhausted` when the queue is full or the deadline passes, `kUnavailable` when
    /// opening fails or the server is removed.
    auto acquire(const LinkOrder &order, TimePoint now, Done done) -> void;

    /// Ends the use of a connection. Not `reusable`: it is closed.
    auto release(const ConnectionHandle &handle, bool reusable, TimePoint now) -> void;

    auto opened(const ConnectionHandle &handle, TimePoint now) -> void;

    /// `kResourceExhausted`: the server has no connection left, and waiters wait on. Any other
    /// error: one waiter learns of it and may go elsewhere.
    auto openFailed(const ConnectionHandle &handle, const absl::Status &status, TimePoint now)
        -> void;

    /// An idle connection was closed by the server.
    auto lost(const ConnectionHandle &handle) -> void;

    /// Fails waiters whose deadline has passed, closes connections that were idle for longer than
    /// `idleLimit` and serves those who wait for a full server. To be called every few tens of
    /// milliseconds.
    auto advance(TimePoint now, Duration idleLimit) -> void;

    /// Closes idle connections and fails waiters; connections in use are closed on release.
    auto remove(std::string_view endpoint) -> void;

    /// Whether a connection of the organisation is idle now.
    [[nodiscard]] auto hasIdle(std::string_view endpoint, std::string_view organisation) -> bool;

private:
    using Effects = std::vector<std::function<auto()->void>>;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto linksOf(std::string_view endpoint) -> detail::EndpointLinks &;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto serveWaiters(const std::string &endpoint, detail::EndpointLinks &links, TimePoint now,
                      Effects &effects) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto openFor(const std::string &endpoint, const detail::EndpointLinks::Waiter &waiter,
                 detail::EndpointLinks &links, TimePoint now, Effects &effects) -> void;
    static auto run(const Effects &effects) -> void;

    LinkPoolHooks hooks;
    RankedMutex mutex{LockRank::ConnectionPool};
    std::map<std::string, detail::EndpointLinks, std::less<>> endpoints ABSL_GUARDED_BY(mutex);
    std::uint64_t lastId ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace auburnrail

#endif
