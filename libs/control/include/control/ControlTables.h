#ifndef AUBURNRAIL_CONTROL_CONTROLTABLES_H
#define AUBURNRAIL_CONTROL_CONTROLTABLES_H

#include <consensus/Term.h>
#include <control/CommandPipeline.h>
#include <control/CommandWait.h>
#include <control/ControlMetrics.h>
#include <control/ControlTablesHooks.h>
#include <control/ControlTablesSettings.h>
#include <control/EndpointCommander.h>
#include <control/EndpointRegistrar.h>
#include <control/EntryDirectory.h>
#include <control/EntryRegistrar.h>
#include <control/FailoverLog.h>
#include <control/FleetStore.h>
#include <control/HeldAnswers.h>

#include <failover/FailoverCoordinator.h>
#include <lease/LeaseTable.h>
#include <observe/BurnReport.h>
#include <quota/ShareLedger.h>

#include <core/Executor.h>
#include <core/RandomSource.h>

#include <atomic>

namespace auburnrail {

/// The shared tables of one control member, wired to each other. Calls to endpoints run on the
/// executor. Each table is safe from any thread; locks are taken in LockRank's order.
class ControlTables
{
public:
    /// `controlExecutor` must stop running tasks before this object goes. `secureRandom` is safe
    /// from any thread.
    ControlTables(Executor controlExecutor, RandomSource secureRandom,
                  ControlTablesHooks tableHooks, ControlTablesSettings tableSettings = {});
    ControlTables(const ControlTables &) = delete;
    auto operator=(const ControlTables &) -> ControlTables & = delete;

    /// Takes a committed log entry. Called in log order.
    auto committed(Revision index, const std::string &payload) -> void;

    /// Takes a whole state from the leader.
    auto installed(const std::string &snapshot) -> void;

    auto leadershipChanged(bool leads, Term term) -> void;

    /// Whether shares of limits may be lent to the instance that sent a heartbeat now.
    [[nodiscard]] auto mayLend(const std::string &instance, TimePoint now) -> bool;

    /// Whether this member leads and its tables hold everything that was committed before. The
    /// quorum alone is not enough: the log may lead while the tables still take its entries.
    [[nodiscard]] auto isLeading(TimePoint now) const -> bool;

    /// Acts on the passing of time; called every few tens of milliseconds.
    auto tick(TimePoint now) -> void;

    /// Takes an endpoint's announcement. A departure is committed before this returns OK;
    /// `kUnavailable` when that is not known.
    [[nodiscard]] auto announce(const Announcement &announcement) -> absl::Status;

    /// A command of the system itself, with an id of its own.
    [[nodiscard]] auto makeCommand(CommandBody body) -> Command;

    /// Proposes a command and blocks until its outcome, for at most `timeLimit`. Errors:
    /// `kDeadlineExceeded` when the outcome is not known by then, and those of CommandPipeline.
    [[nodiscard]] auto run(const Command &command, CommandWait wait, Duration timeLimit)
        -> absl::StatusOr<CommandResult>;

    /// Proposes a command of the system itself; it is repeated by whoever needs it.
    auto submitInternal(CommandBody body) -> void;

    const ControlTablesHooks hooks;
    const ControlTablesSettings settings;
    ControlMetrics metrics;
    const Executor executor;
    const RandomSource random;
    FleetStore store;
    CommandPipeline pipeline;
    LeaseTable leases;
    HeldAnswers held;
    ShareLedger ledger;
    EndpointRegistrar registrar;
    EntryRegistrar entryRegistrar;
    EntryDirectory entries;
    EndpointCommander commander;
    const EndpointOrders orders;
    FailoverLog failovers;
    BurnReport burn; ///< Of all entries; complete on the leader only.
    FailoverCoordinator failover;

private:
    [[nodiscard]] auto makeFailoverHooks() -> FailoverHooks;
    auto beginLending(Term term, TimePoint now) -> void;

    /// Replaces primaries that leave, and removes endpoints that fell silent.
    auto tendEndpoints(TimePoint now) -> void;
    auto promoteAndAwait(const GroupEndpoint &endpoint, const std::string &group,
                         std::uint64_t term, const std::vector<GroupEndpoint> &members,
                         const std::function<auto(bool, TimePoint)->void> &done) -> void;
    auto awaitPrimary(const GroupEndpoint &endpoint, const std::string &group, TimePoint deadline,
                      const std::function<auto(bool, TimePoint)->void> &done) -> void;

    /// Counts a failover in the objectives of the services on its group.
    auto countFailover(const FailoverRecord &record) -> void;

    /// Tells the tables that follow the fleet state what it says now.
    auto stateChanged(bool isWhole) -> void;

    std::atomic<bool> hasBegunLeadership{false};
    TimePoint nextTending; ///< Used by tick() only.
    FleetObjects followed; ///< State that the tables were told last; used on the log's thread only.
};

} // namespace auburnrail

#endif
