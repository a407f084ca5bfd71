#ifndef AUBURNRAIL_PROXY_PROXYSERVER_H
#define AUBURNRAIL_PROXY_PROXYSERVER_H

#include <proxy/FleetSize.h>
#include <proxy/PrimaryPositions.h>
#include <proxy/ProxyServerHooks.h>
#include <proxy/ProxyServerSettings.h>
#include <proxy/ProxySession.h>
#include <proxy/ServerConnections.h>
#include <proxy/StatementPlacement.h>

#include <net/IoPool.h>
#include <net/StreamListener.h>
#include <routing/EndpointTable.h>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace auburnrail {

/// Serves the sessions of one entry: accepts clients, runs a ProxySession for each and shares the
/// connections to servers among them. Thread-safe.
class ProxyServer
{
public:
    /// Interval at which waiters, idle connections and due probes are checked.
    static constexpr auto TICK_INTERVAL_MS = std::chrono::milliseconds(25);
    /// `endpointTable` must outlive this object.
    ProxyServer(ProxyServerSettings serverSettings, ProxyServerHooks serverHooks,
                EndpointTable &endpointTable);
    ProxyServer(const ProxyServer &) = delete;
    auto operator=(const ProxyServer &) -> ProxyServer & = delete;

    /// Calls stop().
    ~ProxyServer();

    /// Starts listening. Returns `kUnavailable` when the address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Must be called after a change of the fleet state or of `fleet`, the number of entries that
    /// share the connections to servers.
    auto stateChanged(const FleetSize &fleet) -> void;

    /// Stops accepting sessions and ends each session as soon as it has no open transaction.
    auto drain() -> void;

    /// Ends every session after its current statement; open transactions are rolled back.
    auto endSessions() -> void;

    /// Number of sessions that have not ended.
    [[nodiscard]] auto openSessions() -> std::size_t;

    auto stop() -> void;

    /// Where and in which term the group is served, by the fleet state that this entry applied.
    [[nodiscard]] auto groupView(const std::string &group) -> GroupView;

    /// For statements of other entries.
    [[nodiscard]] auto connections() -> ServerConnections &;
    [[nodiscard]] auto primaryPositions() -> PrimaryPositions &;
    [[nodiscard]] auto ioPool() -> IoPool &;

    /// Port in use after start().
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    using SessionPointer = std::shared_ptr<ProxySession>;

    struct OpenSession
    {
        SessionPointer session;
        StreamConnection::Pointer connection;
    };

    auto accept(const StreamConnection::Pointer &connection) -> void;
    auto forget(std::uint64_t number) -> void;
    [[nodiscard]] auto makeSessionHooks(const StreamConnection::Pointer &connection)
        -> ProxySessionHooks;
    [[nodiscard]] auto makeServerConnectionsHooks() -> ServerConnectionsHooks;
    auto scheduleTick() -> void;
    auto forEachSession(const std::function<auto(ProxySession &)->void> &action) -> void;

    const ProxyServerSettings settings;
    const ProxyServerHooks hooks;
    IoPool pool;
    const Executor executor;
    EndpointTable &endpoints;
    PrimaryPositions positions;
    ServerConnections serverConnections;
    StatementPlacement placement;
    StreamListener listener;
    RankedMutex mutex{LockRank::SessionTable};
    std::map<std::uint64_t, OpenSession> sessions ABSL_GUARDED_BY(mutex);
    std::uint64_t lastNumber ABSL_GUARDED_BY(mutex) = 0;
    bool draining ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail

#endif
