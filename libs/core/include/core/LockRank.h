#ifndef AUBURNRAIL_CORE_LOCKRANK_H
#define AUBURNRAIL_CORE_LOCKRANK_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// The lock order of the whole system, outermost first. A thread may take a mutex only when its
/// rank is greater than that of every mutex it holds. Hooks run with no table mutex held.
enum class LockRank : std::uint8_t {
    ConsensusNode,
    EntryUpdates,
    FleetState,
    CommandPipeline,
    EndpointRegistrar,
    DepartureHandover,
    EntryRegistrar,
    EntryDirectory,
    HeldResponses,
    LeaseTable,
    ShareLedger,
    Failover,
    AppliedState,
    LeaseHolder,
    LeaseGate,
    RateAdmission,
    TokenRequester,
    ShareHolder,
    TransactionTable,
    FairQueue,
    RelayRoutes,
    StatusCalls,
    EndpointTable,
    RelayPeers,
    RelayLinks,
    RelayChannel,
    RelayLink,
    ConnectionPool,
    ReplicationTracker,
    PrimaryPositions,
    ServerConnections,
    SessionTable,
    RetryBudget,
    StandInServer,
    ExplainLog,
    BurnReport,
    Metrics,
    EncodedPayloads,
    Scheduler,
    WorkerQueue,
    WorkerPool,
    Connection,
    LogBudget,
    Log,
};

template <>
inline constexpr auto ENUM_NAMES<LockRank> = std::to_array<EnumName<LockRank>>({
    {LockRank::ConsensusNode, "consensus-node"},
    {LockRank::EntryUpdates, "entry-updates"},
    {LockRank::FleetState, "fleet-state"},
    {LockRank::CommandPipeline, "command-pipeline"},
    {LockRank::EndpointRegistrar, "endpoint-registrar"},
    {LockRank::DepartureHandover, "departure-handover"},
    {LockRank::EntryRegistrar, "entry-registrar"},
    {LockRank::EntryDirectory, "entry-directory"},
    {LockRank::HeldResponses, "held-answers"},
    {LockRank::LeaseTable, "lease-table"},
    {LockRank::ShareLedger, "share-ledger"},
    {LockRank::Failover, "failover"},
    {LockRank::AppliedState, "applied-state"},
    {LockRank::LeaseHolder, "lease-holder"},
    {LockRank::LeaseGate, "lease-gate"},
    {LockRank::RateAdmission, "rate-admission"},
    {LockRank::TokenRequester, "token-requester"},
    {LockRank::ShareHolder, "share-holder"},
    {LockRank::TransactionTable, "transaction-table"},
    {LockRank::FairQueue, "fair-queue"},
    {LockRank::RelayRoutes, "relay-routes"},
    {LockRank::StatusCalls, "status-calls"},
    {LockRank::EndpointTable, "endpoint-table"},
    {LockRank::RelayPeers, "relay-peers"},
    {LockRank::RelayLinks, "relay-links"},
    {LockRank::RelayChannel, "relay-channel"},
    {LockRank::RelayLink, "relay-link"},
    {LockRank::ConnectionPool, "connection-pool"},
    {LockRank::ReplicationTracker, "replication-tracker"},
    {LockRank::PrimaryPositions, "primary-positions"},
    {LockRank::ServerConnections, "server-links"},
    {LockRank::SessionTable, "session-table"},
    {LockRank::RetryBudget, "retry-budget"},
    {LockRank::StandInServer, "stand-in-server"},
    {LockRank::ExplainLog, "explain-log"},
    {LockRank::BurnReport, "burn-report"},
    {LockRank::Metrics, "metrics"},
    {LockRank::EncodedPayloads, "encoded-payloads"},
    {LockRank::Scheduler, "scheduler"},
    {LockRank::WorkerQueue, "worker-queue"},
    {LockRank::WorkerPool, "worker-pool"},
    {LockRank::Connection, "connection"},
    {LockRank::LogBudget, "log-budget"},
    {LockRank::Log, "log"},
});

} // namespace auburnrail

#endif
