#ifndef AUBURNRAIL_ENTRY_ENTRYTABLES_H
#define AUBURNRAIL_ENTRY_ENTRYTABLES_H

#include <entry/AcknowledgedPositions.h>
#include <entry/AnnouncedEndpoints.h>
#include <entry/EndpointSockets.h>
#include <entry/EntryIdentity.h>
#include <entry/RateAdmission.h>

#include <lease/LeaseGate.h>
#include <lease/LeaseHolder.h>
#include <observe/BurnReport.h>
#include <observe/ExplainLog.h>
#include <observe/Metrics.h>
#include <peers/RelayPeers.h>
#include <proxy/FleetSize.h>
#include <quota/ShareHolder.h>
#include <quota/TokenRequester.h>
#include <request/CallerResponse.h>
#include <request/ConnectionPool.h>
#include <request/ReplicationTracker.h>
#include <request/RetryBudget.h>
#include <request/TransactionTable.h>
#include <routing/EndpointTable.h>
#include <session/SessionTokenCodec.h>
#include <state/AppliedState.h>

#include <core/Executor.h>
#include <core/RandomSource.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace auburnrail {

/// The shared tables of one entry, connected to each other. Blocking work (opening connections,
/// awaits) runs on the executor. Each table is thread-safe; locks are taken in LockRank's order.
class EntryTables
{
public:
    /// Probe interval for endpoints in other zones when the nearest endpoint is preferred: they get
    /// little work, and their state is needed only when the endpoints nearby fail. Short enough
    /// that they do not count as unresponsive.
    static constexpr auto REMOTE_PROBE_INTERVAL_MS = std::chrono::milliseconds(2000);

    /// `entryExecutor` must stop running tasks before this object is destroyed. With a
    /// `sessionChoice`, endpoints are chosen for sessions by it, and those in other zones are
    /// probed less often.
    EntryTables(const EntryIdentity &entryIdentity, Executor entryExecutor,
                RandomSource entryRandom, const EndpointChoice &sessionChoice = {});
    EntryTables(const EntryTables &) = delete;
    auto operator=(const EntryTables &) -> EntryTables & = delete;

    /// Updates the tables with the groups and endpoints of the new state revision.
    auto stateChanged() -> void;

    /// `listener` is called after the tables reflect a new revision or the fleet size has changed.
    /// To be set before the first heartbeat.
    auto setStateListener(std::function<auto()->void> listener) -> void;

    /// `listener` is called when waiting requests may need tokens of the leader. To be set before
    /// the first request.
    auto setTokenListener(std::function<auto()->void> listener) -> void;

    /// From the control leader's last response.
    [[nodiscard]] auto fleetSize() const -> FleetSize;
    auto setFleetSize(FleetSize size) -> void;

    /// Replaces the entries through which statements may reach servers.
    auto setRelayPeers(const std::vector<RelayPeer> &peers) -> void;

    /// Ends waits and transactions whose time limit has passed. Called every few tens of
    /// milliseconds by the executor's timer.
    auto expire(TimePoint now) -> void;

    /// Records one completed request in the metrics.
    auto countRequest(const CallerResponse &response, Duration latency) -> void;

    /// All metrics in the text exposition format.
    [[nodiscard]] auto metricsText() -> std::string;

    const EntryIdentity identity;
    const Executor executor;
    const RandomSource random;
    AppliedState state;
    LeaseHolder lease;
    LeaseGate leaseGate;
    ShareHolder shares;
    TokenRequester tokens;
    RateAdmission admission;
    EndpointTable endpoints;
    RelayPeers relayPeers;
    EndpointSockets connections;
    ConnectionPool pool;
    ReplicationTracker replication;
    TransactionTable transactions;
    RetryBudget retries;
    SessionTokenCodec sessions;
    AcknowledgedPositions acknowledged;
    AnnouncedEndpoints announced;
    ExplainLog explain;
    BurnReport burn;
    Metrics metrics;

private:
    std::function<auto()->void> stateListener;
    std::function<auto()->void> tokenListener;
    std::atomic<FleetSize> lastFleetSize{FleetSize()};

    auto openConnection(const ConnectionHandle &handle) -> void;
    auto sendAwait(const std::string &group, const std::string &endpoint, Position position)
        -> void;
};

} // namespace auburnrail

#endif
