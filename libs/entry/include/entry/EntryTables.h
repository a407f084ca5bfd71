#ifndef AUBURNRAIL_ENTRY_ENTRYTABLES_H
#define AUBURNRAIL_ENTRY_ENTRYTABLES_H

#include <entry/AnnouncedEndpoints.h>
#include <entry/EndpointSockets.h>
#include <entry/EntryIdentity.h>
#include <entry/RateAdmission.h>

#include <lease/LeaseGate.h>
#include <lease/LeaseHolder.h>
#include <observe/BurnReport.h>
#include <observe/ExplainLog.h>
#include <observe/Metrics.h>
#include <proxy/FleetSize.h>
#include <quota/ShareHolder.h>
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

/// The shared tables of one entry, wired to each other. Blocking work (opening connections, awaits)
/// runs on the executor. Each table is safe from any thread; locks are taken in LockRank's order.
class EntryTables
{
public:
    /// With the nearest endpoint first, replicas in other zones get little work, and their state is
    /// needed only when those nearby fail; still often enough to count as heard.
    static constexpr auto FAR_PROBE_INTERVAL_MS = std::chrono::milliseconds(2000);

    /// `executor` must stop running tasks before this object goes.
    EntryTables(const EntryIdentity &entryIdentity, Executor entryExecutor,
                RandomSource entryRandom, bool nearestFirst = false);
    EntryTables(const EntryTables &) = delete;
    auto operator=(const EntryTables &) -> EntryTables & = delete;

    /// Tells the tables what the state's new revision says of groups and endpoints.
    auto stateChanged() -> void;

    /// Called after the tables have followed a new revision. To be set before the heartbeats begin.
    auto setStateListener(std::function<auto()->void> listener) -> void;

    /// By the control leader's last answer.
    [[nodiscard]] auto fleetSize() const -> FleetSize;
    auto setFleetSize(FleetSize size) -> void;

    /// Ends waits and transactions that are due. Called every few tens of milliseconds by the
    /// executor's timer.
    auto expire(TimePoint now) -> void;

    /// Counts one answered request in the metrics.
    auto countRequest(const CallerResponse &answer, Duration latency) -> void;

    /// All metrics in the text exposition format.
    [[nodiscard]] auto metricsText() -> std::string;

    const EntryIdentity identity;
    const Executor executor;
    const RandomSource random;
    AppliedState state;
    LeaseHolder lease;
    LeaseGate leaseGate;
    ShareHolder shares;
    RateAdmission admission;
    EndpointTable endpoints;
    EndpointSockets connections;
    ConnectionPool pool;
    ReplicationTracker replication;
    TransactionTable transactions;
    RetryBudget retries;
    SessionTokenCodec sessions;
    AnnouncedEndpoints announced;
    ExplainLog explain;
    BurnReport burn;
    Metrics metrics;

private:
    std::function<auto()->void> stateListener;
    std::atomic<FleetSize> knownSize{FleetSize()};

    auto openConnection(const ConnectionHandle &handle) -> void;
    auto sendAwait(const std::string &group, const std::string &endpoint, Position position)
        -> void;
};

} // namespace auburnrail

#endif
