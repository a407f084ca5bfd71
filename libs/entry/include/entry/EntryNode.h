#ifndef AUBURNRAIL_ENTRY_ENTRYNODE_H
#define AUBURNRAIL_ENTRY_ENTRYNODE_H

#include <entry/EntryOperators.h>
#include <entry/EntryServer.h>
#include <entry/EntryTables.h>
#include <entry/HeartbeatLoop.h>
#include <entry/ProbeLoop.h>

#include <settings/EntrySettings.h>

#include <core/WorkerPool.h>

#include <absl/status/status.h>

namespace auburnrail {

/// One entry instance: the shared tables, the workers and loops that act on them, and the servers.
class EntryNode
{
public:
    EntryNode(EntrySettings entrySettings, const std::string &clusterSecret);
    EntryNode(const EntryNode &) = delete;
    auto operator=(const EntryNode &) -> EntryNode & = delete;
    ~EntryNode();

    /// Starts the servers and the loops. `kUnavailable` when an address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Shuts down without cutting a request: reports not ready, waits for the balancer to notice,
    /// accepts no new connections, finishes the work under way for at most the drain limit, and
    /// ends.
    auto shutDown() -> void;

private:
    auto scheduleExpiry() -> void;
    auto waitForUnfinishedWork() -> void;

    const EntrySettings settings;
    WorkerPool workers;
    EntryTables tables;
    ProbeLoop probes;
    HeartbeatLoop heartbeats;
    EntryServer callers;
    EntryOperators operators;
};

} // namespace auburnrail

#endif
