#ifndef AUBURNRAIL_CONTROL_CONTROLNODE_H
#define AUBURNRAIL_CONTROL_CONTROLNODE_H

#include <control/ConsensusRunner.h>
#include <control/ControlOperators.h>
#include <control/ControlTables.h>
#include <control/HeartbeatService.h>

#include <settings/ControlSettings.h>
#include <wire/ConsensusTransport.h>
#include <wire/ControlServer.h>

#include <core/WorkerPool.h>

#include <absl/status/status.h>

namespace auburnrail {

/// One control member: the replicated log, the tables that follow it, the workers that act on them
/// and the servers for members, entries and operators.
class ControlNode
{
public:
    explicit ControlNode(const ControlSettings &controlSettings);
    ControlNode(const ControlNode &) = delete;
    auto operator=(const ControlNode &) -> ControlNode & = delete;
    ~ControlNode();

    /// Formats an empty data directory as that of an initial member of the cluster.
    [[nodiscard]] static auto initialise(const ControlSettings &settings) -> absl::Status;

    /// Opens the data directory and starts to serve. A directory without an identity is formatted
    /// as that of a member whose disk was lost, which joins as a learner.
    [[nodiscard]] auto start() -> absl::Status;

    auto stop() -> void;

private:
    [[nodiscard]] auto makeRunnerHooks() -> ConsensusRunnerHooks;
    [[nodiscard]] auto makeTableHooks() -> ControlTablesHooks;
    [[nodiscard]] auto startTransport() -> absl::Status;
    auto scheduleTick() -> void;

    const ControlSettings settings;
    WorkerPool workers;
    ControlTables tables;
    ConsensusTransport transport;
    ConsensusRunner runner;
    HeartbeatService heartbeats;
    ControlServer entries;
    ControlOperators operators;
};

} // namespace auburnrail

#endif
