#ifndef AUBURNRAIL_CONTROL_CONTROLNODE_H
#define AUBURNRAIL_CONTROL_CONTROLNODE_H

#include <control/ConfigurationService.h>
#include <control/ConsensusDisk.h>
#include <control/ConsensusRunner.h>
#include <control/ControlFrontEndHooks.h>
#include <control/ControlLoadLog.h>
#include <control/ControlOperators.h>
#include <control/ControlTables.h>
#include <control/EvacuationService.h>
#include <control/HeartbeatService.h>
#include <control/TokenService.h>
#include <http/MetricsServer.h>

#include <settings/ControlSettings.h>
#include <wire/ConsensusTransport.h>
#include <wire/ControlServer.h>

#include <core/WorkerPool.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <optional>

namespace auburnrail {

/// One control member: the replicated log, the tables that are updated from it, the worker pool,
/// and the servers for members, entries and operators.
class ControlNode
{
public:
    /// Handles requests on the operators' port that belong to an additional front end. Returns
    /// nothing for other requests.
    using FrontEnd = std::function<auto(const HttpRequest &)->std::optional<HttpResponse>>;

    /// When `roleHooks` are not set, endpoints are called over the project's own endpoint protocol.
    explicit ControlNode(const ControlSettings &controlSettings, EndpointRoleHooks roleHooks = {});
    ControlNode(const ControlNode &) = delete;
    auto operator=(const ControlNode &) -> ControlNode & = delete;
    ~ControlNode();

    /// Formats an empty data directory as that of an initial member of the cluster.
    [[nodiscard]] static auto initialise(const ControlSettings &settings) -> absl::Status;

    /// Operations for an additional front end; valid during the lifetime of this object.
    [[nodiscard]] auto frontEndHooks() -> ControlFrontEndHooks;

    /// Must be called before start().
    auto setFrontEnd(FrontEnd newFrontEnd) -> void;

    /// Opens the data directory and starts to serve. An unformatted directory is formatted for a
    /// member whose disk was lost, which joins as a learner. While the disk takes no bytes, the
    /// member serves without taking part in the consensus, and tries again until the disk does.
    [[nodiscard]] auto start() -> absl::Status;

    auto stop() -> void;

private:
    [[nodiscard]] auto makeRunnerHooks() -> ConsensusRunnerHooks;
    [[nodiscard]] auto makeTableHooks() -> ControlTablesHooks;
    [[nodiscard]] auto openDisk() -> absl::StatusOr<ConsensusDisk>;
    /// Opens the data directory and starts the runner.
    [[nodiscard]] auto startRunner() -> absl::Status;
    auto retryStart(const absl::Status &reason) -> void;
    auto send(Message message) -> void;
    auto addMember(const MemberName &name) -> void;
    /// Where the member's log is reached; nothing when that can't be known.
    [[nodiscard]] auto addressOf(const MemberName &name) const -> std::optional<std::string>;
    [[nodiscard]] auto startTransport() -> absl::Status;
    auto scheduleTick() -> void;

    /// Logs a line when the leader or the members of the control group have changed.
    auto logMembershipChange(TimePoint now) -> void;
    [[nodiscard]] auto gauges() -> ControlGauges;

    const ControlSettings settings;
    const EndpointRoleHooks endpointHooks;
    WorkerPool workers;
    WorkerPool diskWorker; ///< One thread, which waits for the disk.
    ControlTables tables;
    ConsensusTransport transport;
    ConsensusRunner runner;
    HeartbeatService heartbeats;
    TokenService tokens;
    ConfigurationService configurations;
    EvacuationService evacuations;
    ControlServer entries;
    ControlOperators operators;
    MetricsServer metricsServer;

    // Used by the tick only; ticks don't overlap.
    ControlLoadLog loadLog;
    TimePoint nextMembershipCheck;
    std::string loggedMembership;
};

} // namespace auburnrail

#endif
