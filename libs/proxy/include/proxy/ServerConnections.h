#ifndef AUBURNRAIL_PROXY_SERVERCONNECTIONS_H
#define AUBURNRAIL_PROXY_SERVERCONNECTIONS_H

#include <proxy/Placement.h>
#include <proxy/PooledConnection.h>
#include <proxy/PrimaryPositions.h>
#include <proxy/ServerConnectionPool.h>
#include <proxy/ServerConnectionsHooks.h>
#include <proxy/StatementRequest.h>

#include <net/IoPool.h>
#include <routing/EndpointTable.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace auburnrail {

/// The connections of one entry to servers. Opens, leases and closes them, and updates the tables
/// with what each response tells about the server. Thread-safe.
class ServerConnections
{
public:
    /// Time limit for opening a connection, up to the first response. Allows for several round
    /// trips between regions and a queue at the server.
    static constexpr auto OPEN_TIME_LIMIT_MS = std::chrono::milliseconds(1000);
    /// Time limits for the response to a probe and to a rollback.
    static constexpr auto PROBE_TIME_LIMIT_MS = std::chrono::milliseconds(500);
    static constexpr auto ROLLBACK_TIME_LIMIT_MS = std::chrono::milliseconds(1000);
    /// A connection that has been idle for this long is closed, so that other entries can use the
    /// server's slot. Several times the pause between two statements of a busy organisation at one
    /// entry.
    static constexpr auto IDLE_LIMIT_MS = std::chrono::milliseconds(1500);

    /// The tables and the pool must outlive this object.
    ServerConnections(IoPool &ioPool, EndpointTable &endpointTable,
                      PrimaryPositions &primaryPositions, ServerConnectionsHooks connectionsHooks);

    // These implement the hooks of StatementHooks with the same names.
    auto lease(const Placement &placement, const StatementRequest &request,
               std::function<auto(absl::StatusOr<PooledConnectionPointer>)->void> done) -> void;
    auto release(const PooledConnectionPointer &connection, bool reusable) -> void;

    /// Leases a connection of this entry itself. Errors as of StatementHooks::lease.
    auto leaseOwn(const Placement &placement, const ConnectionRequest &connectionRequest,
                  std::function<auto(absl::StatusOr<PooledConnectionPointer>)->void> done) -> void;
    auto observe(const PooledConnection &connection, const ServerOutcome &outcome) -> void;

    /// Rolls back the open transaction of the connection and ends the connection's lease.
    auto rollBack(const PooledConnectionPointer &connection) -> void;

    /// Requests the status of servers from which nothing has been received recently.
    auto probeDue(TimePoint now) -> void;

    /// Requests the status of a server on a connection of this entry. `done`, which may be empty,
    /// is called after the response has been recorded, with false when there was none.
    auto probe(const EndpointView &view, std::function<auto(bool responded)->void> done) -> void;

    /// Must be called every few tens of milliseconds.
    auto advance(TimePoint now) -> void;

    [[nodiscard]] auto pool() -> ServerConnectionPool &;

private:
    auto open(const ConnectionHandle &handle, const std::string &organisation) -> void;
    auto opened(const ConnectionHandle &handle, const PooledConnectionPointer &connection,
                const ServerOutcome &outcome) -> void;
    auto close(const ConnectionHandle &handle) -> void;
    auto count(ServerConnectionEvent event) const -> void;
    [[nodiscard]] auto find(const ConnectionHandle &handle) -> PooledConnectionPointer;
    [[nodiscard]] auto extract(const ConnectionHandle &handle) -> PooledConnectionPointer;

    IoPool &ioPool;
    EndpointTable &endpoints;
    PrimaryPositions &positions;
    const ServerConnectionsHooks hooks;
    ServerConnectionPool connectionPool;
    RankedMutex mutex{LockRank::ServerConnections};
    std::map<ConnectionHandle, PooledConnectionPointer> connections ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
