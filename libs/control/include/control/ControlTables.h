#ifndef AUBURNRAIL_CONTROL_CONTROLTABLES_H
#define AUBURNRAIL_CONTROL_CONTROLTABLES_H

#include <consensus/Term.h>
#include <control/CommandPipeline.h>
#include <control/CommandWait.h>
#include <control/ControlMetrics.h>
#include <control/ControlTablesHooks.h>
#include <control/ControlTablesSettings.h>
#include <control/DepartureHandover.h>
#include <control/EndpointCommander.h>
#include <control/EndpointRegistrar.h>
#include <control/EntryDirectory.h>
#include <control/EntryRegistrar.h>
#include <control/FailoverLog.h>
#include <control/FleetStore.h>
#include <control/HeldResponses.h>

#include <failover/FailoverCoordinator.h>
#include <lease/LeaseTable.h>
#include <observe/BurnReport.h>
#include <quota/ShareLedger.h>

#include <core/Executor.h>
#include <core/RandomSource.h>

#include <atomic>

namespace auburnrail {

/// The shared tables of one control member and the connections between them. Calls to endpoints run
/// on the executor. Each table is safe from any thread; locks are taken in LockRank's order.
class ControlTables
{
public:
    /// `controlExecutor` must stop running tasks before this object is destroyed. `secureRandom`
    /// must be safe from any thread.
    ControlTables(Executor controlExecutor, RandomSource secureRandom,
                  ControlTablesHooks tableHooks, ControlTablesSettings tableSettings = {});
    ControlTables(const ControlTables &) = delete;
    auto operator=(const ControlTables &) -> ControlTables & = delete;

    /// Applies a committed log entry. Called in log order.
    auto committed(Revision index, const std::string &payload) -> void;

    /// Replaces the state by a snapshot from the leader.
    auto installed(const std::string &snapshot) -> void;

    auto leadershipChanged(bool leads, Term term) -> void;

    /// Whether shares of rate limits may be granted to the instance that sent a heartbeat at `now`.
    /// Registers an unknown instance.
    [[nodiscard]] auto mayGrantShares(const std::string &instance, TimePoint now) -> bool;

    /// Whether this member leads and its tables hold everything that was committed before. The
    /// quorum alone is not enough: this member may lead the log while its tables still apply
    /// entries of it.
    [[nodiscard]] auto isLeading(TimePoint now) const -> bool;

    /// Does the periodic work; called every few tens of milliseconds.
    auto tick(TimePoint now) -> void;

    /// `kInvalidArgument` with every fault of an announcement that must not be processed, which is
    /// logged.
    [[nodiscard]] auto checkAnnounced(const Announcement &announcement) const -> absl::Status;

    /// Decides on an announcement that has passed checkAnnounced(), counts and logs the verdict.
    [[nodiscard]] auto decide(const Announcement &announcement, const FleetObjects &state,
                              TimePoint now) -> EndpointDecision;

    /// Processes an endpoint's announcement. Before this returns OK for a departure, it is
    /// committed and DepartureHandover lets it be acknowledged; `kUnavailable` when that isn't so
    /// within a limit, `kInvalidArgument` as checkAnnounced().
    [[nodiscard]] auto announce(const Announcement &announcement) -> absl::Status;

    /// OK when an endpoint or an entry is, or once was, in the zone; `kInvalidArgument` otherwise,
    /// or `kUnavailable` when this member has heard of no entry yet.
    [[nodiscard]] auto knowsZone(const std::string &zone, TimePoint now) -> absl::Status;

    /// Makes a command issued by the system itself, with a new random id.
    [[nodiscard]] auto makeCommand(CommandBody body) -> Command;

    /// Proposes a command and blocks until its outcome, for at most `timeLimit`. Errors:
    /// `kDeadlineExceeded` when the outcome is not known by then, and those of CommandPipeline.
    [[nodiscard]] auto run(const Command &command, CommandWait wait, Duration timeLimit)
        -> absl::StatusOr<CommandResult>;

    /// Runs a command of the system itself until it is in force everywhere. `kInvalidArgument` when
    /// the state's rules refuse it as invalid, `kUnavailable` for any other refusal, else the
    /// errors of run().
    [[nodiscard]] auto runUntilInForce(CommandBody body, Duration timeLimit) -> absl::Status;

    /// Proposes a command issued by the system itself without waiting. Whoever needs it proposes it
    /// again if it is lost.
    auto submitInternal(CommandBody body) -> void;

    const ControlTablesHooks hooks;
    const ControlTablesSettings settings;
    ControlMetrics metrics;
    const Executor executor;
    const RandomSource random;
    FleetStore store;
    CommandPipeline pipeline;
    LeaseTable leases;
    HeldResponses heldResponses;
    ShareLedger ledger;
    EndpointRegistrar registrar;
    EntryRegistrar entryRegistrar;
    EntryDirectory entries;
    EndpointCommander commander;
    const EndpointRoleHooks endpointHooks;
    FailoverLog failovers;
    BurnReport burn; ///< Merged from all entries; complete on the leader only.
    FailoverCoordinator failover;
    DepartureHandover departures;

private:
    [[nodiscard]] auto makeFailoverHooks() -> FailoverHooks;
    [[nodiscard]] auto makeDepartureHooks() -> DepartureHandoverHooks;
    /// Waits until `deadline` for the end of the departure of a registered endpoint.
    [[nodiscard]] auto awaitHandover(const Announcement &announcement, TimePoint deadline)
        -> absl::Status;
    auto beginGranting(Term term, TimePoint now) -> void;

    auto logZoneChanges(const FleetObjects &objects) -> void;

    /// Starts planned failovers of primaries that are leaving or in an evacuated zone, and removes
    /// unresponsive endpoints and entries.
    auto maintainEndpoints(TimePoint now) -> void;
    auto promoteAndAwait(const GroupEndpoint &endpoint, const std::string &group,
                         std::uint64_t term, const std::vector<GroupEndpoint> &members,
                         const std::function<auto(bool, TimePoint)->void> &done) -> void;
    auto awaitPrimary(const GroupEndpoint &endpoint, const std::string &group, std::uint64_t term,
                      TimePoint deadline, const std::function<auto(bool, TimePoint)->void> &done)
        -> void;

    /// Logs and counts the outcome of a promotion.
    auto endPromotion(PromotionOutcome outcome, const GroupEndpoint &endpoint,
                      const std::string &group, std::uint64_t term,
                      const std::optional<EndpointRoleStatus> &status) -> void;

    /// Records a failover against the objectives of the services on its group.
    auto countFailover(const FailoverRecord &record) -> void;

    /// Updates the tables that depend on the fleet state. `isWhole` after a snapshot: limits are
    /// set anew for every organisation, not only for changed ones.
    auto stateChanged(bool isWhole) -> void;

    std::atomic<bool> hasBegunLeadership{false};
    std::atomic<int> waitingDepartures{0}; ///< Calls of awaitHandover() that wait.
    TimePoint nextMaintenance;             ///< Used by tick() only.
    FleetObjects
        previousObjects; ///< State at the last stateChanged(); used on the log's thread only.
};

} // namespace auburnrail

#endif
