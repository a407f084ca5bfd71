#ifndef AUBURNRAIL_PROXY_SERVERLINKS_H
#define AUBURNRAIL_PROXY_SERVERLINKS_H

#include <proxy/LinkPool.h>
#include <proxy/Placement.h>
#include <proxy/PrimaryPositions.h>
#include <proxy/ServerLink.h>
#include <proxy/ServerLinksHooks.h>
#include <proxy/StatementOrder.h>

#include <net/IoPool.h>
#include <routing/EndpointTable.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace auburnrail {

/// The connections of one entry to servers: opens, leases and closes them, and tells the tables
/// what each answer says of the server. Safe from any thread.
class ServerLinks
{
public:
    /// Longest wait for a connection to be opened, its first answer included. Several round trips
    /// between regions and a queue at the server.
    static constexpr auto OPEN_TIME_LIMIT_MS = std::chrono::milliseconds(1000);
    /// Longest wait for the answer to a probe or a rollback.
    static constexpr auto PROBE_TIME_LIMIT_MS = std::chrono::milliseconds(500);
    static constexpr auto ROLLBACK_TIME_LIMIT_MS = std::chrono::milliseconds(1000);
    /// A connection that was idle for this long is closed, so that others in the fleet get it. Some
    /// times the pause between two statements of a busy organisation at one entry.
    static constexpr auto IDLE_LIMIT_MS = std::chrono::milliseconds(1500);

    /// The tables and the pool must outlive this object.
    ServerLinks(IoPool &ioPool, EndpointTable &endpointTable, PrimaryPositions &primaryPositions,
                ServerLinksHooks linkHooks);

    // The operations of StatementHooks with the same names.
    auto lease(const Placement &placement, const StatementOrder &order,
               std::function<auto(absl::StatusOr<ServerLinkPointer>)->void> done) -> void;
    auto release(const ServerLinkPointer &link, bool reusable) -> void;
    auto observe(const ServerLink &link, const ServerOutcome &outcome) -> void;

    /// Rolls back what is open on the connection and ends its lease.
    auto rollBack(const ServerLinkPointer &link) -> void;

    /// Asks the servers that were not heard lately for their state.
    auto probeDue(TimePoint now) -> void;

    /// To be called every few tens of milliseconds.
    auto advance(TimePoint now) -> void;

    [[nodiscard]] auto pool() -> LinkPool &;

private:
    auto open(const ConnectionHandle &handle, const std::string &organisation) -> void;
    auto opened(const ConnectionHandle &handle, const ServerLinkPointer &link,
                const ServerOutcome &outcome) -> void;
    auto close(const ConnectionHandle &handle) -> void;
    auto probe(const EndpointView &view) -> void;
    [[nodiscard]] auto find(const ConnectionHandle &handle) -> ServerLinkPointer;
    [[nodiscard]] auto take(const ConnectionHandle &handle) -> ServerLinkPointer;

    IoPool &ioPool;
    EndpointTable &endpoints;
    PrimaryPositions &positions;
    const ServerLinksHooks hooks;
    LinkPool linkPool;
    RankedMutex mutex{LockRank::ServerLinks};
    std::map<ConnectionHandle, ServerLinkPointer> links ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
