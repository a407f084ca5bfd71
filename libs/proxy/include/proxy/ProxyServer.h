#ifndef AUBURNRAIL_PROXY_PROXYSERVER_H
#define AUBURNRAIL_PROXY_PROXYSERVER_H

#include <proxy/FleetSize.h>
#include <proxy/PrimaryPositions.h>
#include <proxy/ProxyServerHooks.h>
#include <proxy/ProxyServerSettings.h>
#include <proxy/ProxySession.h>
#include <proxy/ServerLinks.h>
#include <proxy/StatementPlacement.h>

#include <net/IoPool.h>
#include <net/StreamListener.h>
#include <routing/EndpointTable.h>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace auburnrail {

/// The sessions of one entry: accepts callers, runs a ProxySession for each and shares the
/// connections to servers among them. Safe from any thread.
class ProxyServer
{
public:
    /// Between two looks at waiters and idle connections.
    static constexpr auto TICK_INTERVAL_MS = std::chrono::milliseconds(25);
    /// `endpointTable` must outlive this object.
    ProxyServer(ProxyServerSettings serverSettings, ProxyServerHooks serverHooks,
                EndpointTable &endpointTable);
    ProxyServer(const ProxyServer &) = delete;
    auto operator=(const ProxyServer &) -> ProxyServer & = delete;

    /// Calls stop().
    ~ProxyServer();

    /// Starts to listen. `kUnavailable` when the address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Follows the fleet state; the entries of `fleet` share the connections to servers.
    auto stateChanged(const FleetSize &fleet) -> void;

    /// Accepts no more sessions and ends each one when it has no open transaction.
    auto drain() -> void;

    /// Ends every session after its statement under way; open transactions are rolled back.
    auto endSessions() -> void;

    /// Sessions that have not ended.
    [[nodiscard]] auto openSessions() -> std::size_t;

    auto stop() -> void;

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
    [[nodiscard]] auto makeLinksHooks() -> ServerLinksHooks;
    [[nodiscard]] auto groupView(const std::string &group) -> GroupView;
    auto scheduleTick() -> void;
    auto forEachSession(const std::function<auto(ProxySession &)->void> &action) -> void;

    const ProxyServerSettings settings;
    const ProxyServerHooks hooks;
    IoPool pool;
    const Executor executor;
    EndpointTable &endpoints;
    PrimaryPositions positions;
    ServerLinks links;
    StatementPlacement placement;
    StreamListener listener;
    RankedMutex mutex{LockRank::SessionTable};
    std::map<std::uint64_t, OpenSession> sessions ABSL_GUARDED_BY(mutex);
    std::uint64_t lastNumber ABSL_GUARDED_BY(mutex) = 0;
    bool draining ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail

#endif
