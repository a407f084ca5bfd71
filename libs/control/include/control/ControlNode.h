#ifndef AUBURNRAIL_CONTROL_CONTROLNODE_H
#define AUBURNRAIL_CONTROL_CONTROLNODE_H

#include <control/ConfigurationService.h>
#include <control/ConsensusRunner.h>
#include <control/ControlFrontEndHooks.h>
#include <control/ControlOperators.h>
#include <control/ControlTables.h>
#include <control/HeartbeatService.h>
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

/// One control member: the replicated log, the tables that follow it, the workers that act on them
/// and the servers for members, entries and operators.
class ControlNode
{
public:
    /// Answers requests on the operators' port that are of another front end; nothing for others.
    using FrontEnd = std::function<auto(const HttpRequest &)->std::optional<HttpResponse>>;

    /// `endpointOrders` that are not set are those of the project's own endpoint protocol.
    explicit ControlNode(const ControlSettings &controlSettings,
                         EndpointOrders endpointOrders = {});
    ControlNode(const ControlNode &) = delete;
    auto operator=(const ControlNode &) -> ControlNode & = delete;
    ~ControlNode();

    /// Formats an empty data directory as that of an initial member of the cluster.
    [[nodiscard]] static auto initialise(const ControlSettings &settings) -> absl::Status;

    /// What another front end may ask of this member; valid while it lives.
    [[nodiscard]] auto frontEndHooks() -> ControlFrontEndHooks;

    /// To be called before start().
    auto setFrontEnd(FrontEnd newFrontEnd) -> void;

    /// Opens the data directory and starts to serve. A directory without an identity is formatted
    /// as that of a member whose disk was lost, which joins as a learner.
    [[nodiscard]] auto start() -> absl::Status;

    auto stop() -> void;

private:
    [[nodiscard]] auto makeRunnerHooks() -> ConsensusRunnerHooks;
    [[nodiscard]] auto makeTableHooks() -> ControlTablesHooks;
    [[nodiscard]] auto openDisk() -> absl::StatusOr<ConsensusDisk>;
    auto send(Message message) -> void;
    [[nodiscard]] auto startTransport() -> absl::Status;
    auto scheduleTick() -> void;

    /// Logs what has changed in who leads and who belongs to the control group.
    auto noteMembership(TimePoint now) -> void;
    [[nodiscard]] auto gauges() -> ControlGauges;

    const ControlSettings settings;
    const EndpointOrders orders;
    WorkerPool workers;
    ControlTables tables;
    ConsensusTransport transport;
    ConsensusRunner runner;
    HeartbeatService heartbeats;
    ConfigurationService configurations;
    ControlServer entries;
    ControlOperators operators;
    MetricsServer metricsServer;

    // Of the tick, which runs one at a time.
    TimePoint nextMembershipCheck;
    std::string notedMembership;
};

} // namespace auburnrail

#endif
