#ifndef AUBURNRAIL_ENTRY_ENTRYNODE_H
#define AUBURNRAIL_ENTRY_ENTRYNODE_H

#include <entry/EntryOperatorServer.h>
#include <entry/EntryRelay.h>
#include <entry/EntryServer.h>
#include <entry/EntryTables.h>
#include <entry/HeartbeatLoop.h>
#include <entry/ProbeLoop.h>
#include <entry/ServerConnectionLog.h>
#include <entry/SessionCodecs.h>
#include <entry/StatementLog.h>
#include <entry/TokenLoop.h>
#include <http/MetricsServer.h>

#include <proxy/ProxyServer.h>

#include <settings/EntrySettings.h>

#include <core/WorkerPool.h>

#include <absl/status/status.h>

namespace auburnrail {

/// One entry instance: the shared tables, the workers and loops that use them, and the servers.
class EntryNode
{
public:
    /// `sessionCodecs` is required if the settings contain an address for sessions.
    /// `rereadMembers`: see HeartbeatLoopHooks.
    EntryNode(EntrySettings entrySettings, const std::string &clusterSecret,
              const SessionCodecs &sessionCodecs = {}, MemberReader rereadMembers = {});
    EntryNode(const EntryNode &) = delete;
    auto operator=(const EntryNode &) -> EntryNode & = delete;
    ~EntryNode();

    /// Starts the servers and the loops. `kUnavailable` when an address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Shuts down gracefully: reports not ready, waits for the load balancer to notice, accepts no
    /// new connections, lets the work in progress finish within the drain limit, and stops.
    auto shutDown() -> void;

private:
    [[nodiscard]] auto makeSessions(const SessionCodecs &codecs) -> std::unique_ptr<ProxyServer>;
    [[nodiscard]] auto makeRelay() -> std::unique_ptr<EntryRelay>;
    auto drainSessions(TimePoint shutDownAt) -> void;
    auto scheduleExpiry() -> void;
    auto waitForUnfinishedWork(const std::function<auto()->std::size_t> &unfinished) -> void;
    auto pause(Duration length) -> void;

    const EntrySettings settings;
    WorkerPool workers;
    EntryTables tables;
    StatementLog statements;
    ServerConnectionLog connectionLog;
    std::unique_ptr<ProxyServer> sessions; ///< Null without an address for sessions.
    std::unique_ptr<EntryRelay> relay;     ///< Null without an address for statements of others.
    std::unique_ptr<ProbeLoop> probes;     ///< Null without an address for requests.
    std::unique_ptr<EntryServer> callerServer; ///< Null without an address for requests.
    HeartbeatLoop heartbeats;
    TokenLoop tokens;
    EntryOperatorServer operatorServer;
    MetricsServer metricsServer;
};

} // namespace auburnrail

#endif
