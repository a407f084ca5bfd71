#ifndef AUBURNRAIL_ENTRY_ENTRYRELAY_H
#define AUBURNRAIL_ENTRY_ENTRYRELAY_H

#include <entry/EntryTables.h>
#include <entry/RelayRoutes.h>
#include <entry/StatusCalls.h>

#include <proxy/ProxyServer.h>
#include <relay/RelayLinks.h>
#include <relay/RelayServer.h>

#include <functional>
#include <string>

namespace auburnrail {

/// Passes statements to the entries that hold connections to their servers, and runs those of other
/// entries on connections of this one. Thread-safe.
class EntryRelay
{
public:
    /// The tables and the server must outlive this object's tasks.
    EntryRelay(EntryTables &entryTables, ProxyServer &proxyServer);

    /// `kUnavailable` when the address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Must be called when the state or the number of entries has changed.
    auto stateChanged() -> void;

    /// These implement the hooks of ServerConnectionsHooks with the same names.
    [[nodiscard]] auto relay(const Placement &placement, const StatementRequest &request)
        -> PooledConnectionPointer;
    [[nodiscard]] auto relayProbe(const EndpointView &view) -> bool;

    /// Refuses new statements of other entries.
    auto drain() -> void;

    /// Statements of other entries that are under way.
    [[nodiscard]] auto busyChannels() const -> std::size_t;

private:
    [[nodiscard]] auto makeLinksHooks() -> RelayLinksHooks;
    [[nodiscard]] auto makeServerHooks() -> RelayServerHooks;
    [[nodiscard]] auto refusalOf(const RelayOpening &opening, bool inTransaction, TimePoint now)
        -> RelayRefusal;
    [[nodiscard]] auto loadOf(const std::string &endpoint) -> RelayLoad;
    auto answerStatus(const std::string &endpoint,
                      std::function<auto(std::optional<RelayServerHooks::Status>)->void> done)
        -> void;
    [[nodiscard]] auto recentStatus(const std::string &endpoint)
        -> std::optional<RelayServerHooks::Status>;
    auto takeLoad(const std::string &endpoint, const RelayLoad &load, TimePoint sentAt) -> void;
    auto takeStatus(const EndpointView &view, const std::optional<RelayStatusResponse> &response,
                    TimePoint sentAt) -> void;
    auto scheduleTick() -> void;

    EntryTables &tables;
    ProxyServer &server;
    const Executor executor;
    RelayRoutes routes;
    StatusCalls statusCalls;
    RelayLinks links;
    RelayServer relayServer;
};

} // namespace auburnrail

#endif
