#include "GroupSimulation.h"

#include <lease/LeaseTiming.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

/// A fault, and the primary and term expected 7 s later.
struct FaultCase
{
    const char *name;
    std::function<auto(GroupSimulation &)->void> inject;
    std::string primary;
    std::uint64_t term;
};

auto isolatePrimary(GroupSimulation &group) -> void
{
    group.endpoints["a"].reachable = false;
}

/// Checks that the group is serving, that its primary has the group's term, and that no term had
/// two primaries.
auto checkServing(GroupSimulation &group) -> void
{
    CHECK(group.view.phase == GroupPhase::Serving);
    const auto &primary = group.endpoints[group.view.primary];
    CHECK(primary.primary);
    CHECK(primary.term == group.view.term);
    auto terms = std::map<std::uint64_t, std::string>();
    for (const auto &[name, endpoint] : group.endpoints) {
        for (const auto term : endpoint.promotedInTerms)
            CHECK(terms.emplace(term, name).second);
    }
}

const auto FAULT_CASES = std::vector<FaultCase>{
    {"none", [](GroupSimulation &) {}, "a", 1},
    {"primary unreachable permanently", isolatePrimary, "b", 2},
    {"primary unreachable for less than the suspicion threshold",
     [](GroupSimulation &group) {
         isolatePrimary(group);
         group.runFor(800ms);
         group.endpoints["a"].reachable = true;
     },
     "a", 1},
    {"primary becomes reachable while its group is being fenced",
     [](GroupSimulation &group) {
         isolatePrimary(group);
         group.runFor(1300ms);
         group.endpoints["a"].reachable = true;
     },
     "a", 2},
    {"one entry cannot reach the primary",
     [](GroupSimulation &group) { group.cutOffEntries = {"e1"}; }, "a", 1},
    {"two of three entries cannot reach the primary",
     [](GroupSimulation &group) {
         group.cutOffEntries = {"e1", "e2"};
         group.runFor(1500ms);
         group.cutOffEntries.clear();
     },
     "a", 2},
    {"the fleet state is temporarily not writable",
     [](GroupSimulation &group) {
         isolatePrimary(group);
         group.stateWritable = false;
         group.runFor(2s);
         group.stateWritable = true;
     },
     "b", 2},
    {"the chosen endpoint crashes during its promotion, and the old primary returns",
     [](GroupSimulation &group) {
         isolatePrimary(group);
         group.crashOnPromotion = "b";
         group.runFor(4s);
         group.endpoints["a"].reachable = true;
         group.crashOnPromotion.clear();
     },
     "a", 3},
};

/// Writes that the old primary acknowledges because a replica that control hasn't heard of confirms
/// each one at once. The registered replicas receive them a little later, unless they are fenced.
class WritesWithUnknownReplica
{
public:
    static constexpr auto INTERVAL = 5ms;
    static constexpr auto REPLICATION_DELAY = 20ms;

    explicit WritesWithUnknownReplica(GroupSimulation &simulatedGroup)
        : group(simulatedGroup)
    {
        this->writeNext();
    }

    Position acknowledged;

private:
    auto writeNext() -> void
    {
        auto &primary = this->group.endpoints["a"];
        // The entries pass on acknowledgements for a short time after they have confirmed the term.
        const auto acknowledgesUntil = this->group.inForceAt == TimePoint::max()
                                           ? TimePoint::max()
                                           : this->group.inForceAt + ACKNOWLEDGEMENT_GRACE / 2;
        if (!primary.primary || this->group.scheduler.now() >= acknowledgesUntil)
            return;
        ++primary.position.index;
        this->acknowledged = primary.position;
        for (const auto *name : {"b", "c"}) {
            this->group.scheduler.executor().postAfter(
                REPLICATION_DELAY, [this, name, position = primary.position] {
                    if (!this->group.endpoints[name].fenced)
                        this->group.endpoints[name].position = position;
                });
        }
        this->group.scheduler.executor().postAfter(INTERVAL, [this] { this->writeNext(); });
    }

    GroupSimulation &group;
};

/// A group with a synchronous replica whose primary is about to leave.
auto makeLeavingPrimary(GroupSimulation &group) -> void
{
    group.view.synchronousReplicas = 1;
    group.view.endpoints[0].leaving = true;
    group.coordinator->groupChanged(group.view, group.scheduler.now());
}

} // namespace

// Guards against a failover that never completes, replaces a healthy primary, or leaves two
// primaries in one term.
TEST_CASE("a group serves again within 7 s after a fault")
{
    for (const auto &fault : FAULT_CASES) {
        INFO(fault.name);
        auto group = GroupSimulation();
        group.runFor(1s);
        fault.inject(group);
        group.runFor(7s);
        CHECK(group.view.primary == fault.primary);
        CHECK(group.view.term == fault.term);
        checkServing(group);
    }
}

// Guards against a promotion while an entry can still acknowledge writes of the old term.
TEST_CASE("without a fence of the old primary the promotion waits for the leases")
{
    auto group = GroupSimulation();
    group.leaseWait = 3s;
    isolatePrimary(group);
    group.runFor(4s);
    CHECK(group.coordinator->phaseOf("logs") == FailoverPhase::WaitingForceOrConfirmation);
    CHECK(group.endpoints["b"].promotedInTerms.empty());
    group.runFor(1s);
    REQUIRE(group.records.size() == 1);
    const auto &record = group.records[0];
    CHECK(record.completed);
    CHECK(record.newPrimary == "b");
    CHECK(record.position == Position{.term = 1, .index = 11});
    REQUIRE(record.phases.size() == 5);
    CHECK(record.phases[3].startedAt - record.phases[2].startedAt >= 2900ms);
}

// Guards against a promotion with only a minority fenced, which could lose acknowledged writes.
TEST_CASE("no endpoint is promoted until a majority is fenced")
{
    auto group = GroupSimulation();
    isolatePrimary(group);
    group.endpoints["c"].reachable = false;
    group.runFor(10s);
    CHECK(group.coordinator->phaseOf("logs") == FailoverPhase::Fencing);
    CHECK(group.endpoints["b"].promotedInTerms.empty());
    group.endpoints["c"].reachable = true;
    group.runFor(3s);
    CHECK(group.view.primary == "b");
    checkServing(group);
}

// Guards against a failover that the next leader drops, or repeats in the same term.
TEST_CASE("a new leader completes the failover from every phase")
{
    for (const auto delay :
         {1000ms, 1104ms, 1108ms, 1116ms, 1500ms, 3206ms, 3212ms, 3220ms, 4000ms}) {
        INFO("leader changed " << delay.count() << " ms after the fault");
        auto group = GroupSimulation();
        isolatePrimary(group);
        group.runFor(delay);
        group.restartLeader();
        group.runFor(6s);
        CHECK(group.view.primary == "b");
        checkServing(group);
    }
}

// Guards against an old primary that returns after the failover and does not rejoin the group.
TEST_CASE("an old primary that returns after the failover is told to follow")
{
    auto group = GroupSimulation();
    isolatePrimary(group);
    group.runFor(6s);
    REQUIRE(group.view.primary == "b");
    CHECK(group.endpoints["a"].primary);
    group.endpoints["a"].reachable = true;
    group.runFor(300ms);
    CHECK_FALSE(group.endpoints["a"].primary);
    CHECK(group.endpoints["a"].following == "b");
    CHECK(group.endpoints["a"].position == group.endpoints["b"].position);
}

TEST_CASE("a planned promotion lets the requested endpoint catch up")
{
    auto group = GroupSimulation();
    group.runFor(1s);
    const auto now = group.scheduler.now();
    CHECK(group.coordinator->promotePlanned("logs", "x", now).code()
          == absl::StatusCode::kNotFound);
    REQUIRE(group.coordinator->promotePlanned("logs", "c", now).ok());
    CHECK(group.coordinator->promotePlanned("logs", "b", now).code()
          == absl::StatusCode::kAlreadyExists);
    group.runFor(1s);
    CHECK(group.view.primary == "c");
    CHECK(group.endpoints["c"].position.index == 12);
    checkServing(group);
}

TEST_CASE("a new group gets its first primary once its endpoints stop changing")
{
    auto group = GroupSimulation();
    group.endpoints["a"].primary = false;
    for (auto &[name, endpoint] : group.endpoints)
        endpoint.term = 0;
    group.view.term = 0;
    group.view.primary = "";
    group.coordinator->groupChanged(group.view, group.scheduler.now());
    group.runFor(1900ms);
    CHECK(group.view.primary.empty());
    group.runFor(1s);
    CHECK(group.view.primary == "a");
    CHECK(group.records.at(0).cause == FailoverCause::Initial);
}

// Guards against work and memory that grow with the number of healthy groups.
TEST_CASE("reports are kept for suspected groups only")
{
    auto table = SuspicionTable(FailoverLimits());
    table.report("e1", "g", std::nullopt, TimePoint(0s));
    CHECK(table.size() == 0);
    table.report("e1", "g", 2s, TimePoint(0s));
    CHECK(table.takeConfirmed(TimePoint(0s)).empty());
    table.report("e2", "g", std::nullopt, TimePoint(300ms));
    CHECK(table.takeConfirmed(TimePoint(700ms)).empty());
    table.report("e3", "g", std::nullopt, TimePoint(700ms));
    CHECK(table.size() == 0);
    table.report("e1", "g", 2s, TimePoint(1s));
    CHECK(table.takeConfirmed(TimePoint(3s)).empty());
    CHECK(table.size() == 0);
}

// Guards against a promotion that loses an acknowledged write: with one synchronous replica a write
// may be on any one replica, so that either all replicas or the old primary must be fenced.
TEST_CASE("with a synchronous replica no write is lost while one replica does not respond")
{
    auto group = GroupSimulation();
    group.view.synchronousReplicas = 1;
    group.view.endpoints.push_back({"d", "4"});
    group.endpoints["d"] = GroupSimulation::Endpoint();
    group.coordinator->groupChanged(group.view, group.scheduler.now());
    // The replica that holds the last write is unreachable, while a majority of the group responds.
    group.endpoints["b"].reachable = false;
    isolatePrimary(group);
    group.endpoints["e"] = GroupSimulation::Endpoint();
    group.view.endpoints.push_back({"e", "5"});
    group.coordinator->groupChanged(group.view, group.scheduler.now());
    group.runFor(7s);
    CHECK(group.view.phase == GroupPhase::Fencing);
    group.endpoints["b"].reachable = true;
    group.runFor(5s);
    CHECK(group.view.phase == GroupPhase::Serving);
    CHECK(group.view.primary == "b");
}

TEST_CASE("with a synchronous replica a planned promotion replaces the old primary")
{
    auto group = GroupSimulation();
    group.view.synchronousReplicas = 1;
    group.view.endpoints[0].leaving = true;
    group.coordinator->groupChanged(group.view, group.scheduler.now());
    REQUIRE(group.coordinator->promotePlanned("logs", "c", group.scheduler.now()).ok());
    group.runFor(7s);
    CHECK(group.view.phase == GroupPhase::Serving);
    // The requested replica was allowed to catch up with the most advanced one.
    CHECK(group.view.primary == "c");
    CHECK(group.endpoints["c"].position.index >= 11);
}

// Guards against acknowledged writes that are lost in a planned change of primary because the
// replicas were fenced while the old primary and a replica that has not registered yet went on.
TEST_CASE("replicas are fenced only when nothing more is acknowledged")
{
    for (const auto refusesOrders : {false, true}) {
        INFO("old primary refuses orders: " << refusesOrders);
        auto group = GroupSimulation();
        makeLeavingPrimary(group);
        group.leaseWait = 60ms;
        group.endpoints["a"].refusesOrders = refusesOrders;
        const auto writes = WritesWithUnknownReplica(group);
        group.runFor(100ms);
        REQUIRE(group.coordinator->promotePlanned("logs", "b", group.scheduler.now()).ok());
        group.runFor(3s);
        REQUIRE(group.view.phase == GroupPhase::Serving);
        CHECK(group.view.primary == "b");
        REQUIRE(group.records.size() == 1);
        CHECK(writes.acknowledged.index > 20);
        CHECK(group.records[0].position >= writes.acknowledged);
    }
}

// Guards against the loss of writes that only the old primary and an unregistered replica have.
TEST_CASE("a planned promotion keeps a primary that is ahead of all registered replicas")
{
    auto group = GroupSimulation();
    makeLeavingPrimary(group);
    group.leaseWait = 60ms;
    group.endpoints["b"].deaf = true;
    group.endpoints["c"].deaf = true;
    REQUIRE(group.coordinator->promotePlanned("logs", "b", group.scheduler.now()).ok());
    group.runFor(1700ms);
    CHECK(group.view.phase == GroupPhase::Serving);
    CHECK(group.view.primary == "a");
    CHECK(group.endpoints["a"].primary);
    // The next one waits, so that the group serves in between.
    CHECK(group.coordinator->promotePlanned("logs", "b", group.scheduler.now()).code()
          == absl::StatusCode::kUnavailable);
    group.runFor(1s);
    group.endpoints["b"].deaf = false;
    REQUIRE(group.coordinator->promotePlanned("logs", "b", group.scheduler.now()).ok());
    group.runFor(2s);
    CHECK(group.view.primary == "b");
    CHECK(group.endpoints["b"].position.index == 12);
}

// Guards against a group that stays without a primary because the old one can't be promoted again.
TEST_CASE("a replica is promoted when the old primary doesn't confirm its own promotion")
{
    auto group = GroupSimulation();
    makeLeavingPrimary(group);
    group.leaseWait = 60ms;
    group.endpoints["b"].deaf = true;
    group.endpoints["c"].deaf = true;
    group.crashOnPromotion = "a";
    REQUIRE(group.coordinator->promotePlanned("logs", "b", group.scheduler.now()).ok());
    group.runFor(7s);
    CHECK(group.view.phase == GroupPhase::Serving);
    CHECK(group.view.primary == "b");
}

// Guards against the loss of writes that an unreachable replica and the old primary have.
TEST_CASE("no replica is promoted in place of a failed old primary while another doesn't respond")
{
    auto group = GroupSimulation();
    makeLeavingPrimary(group);
    group.leaseWait = 60ms;
    group.endpoints["b"].reachable = false;
    group.endpoints["c"].deaf = true;
    group.crashOnPromotion = "a";
    REQUIRE(group.coordinator->promotePlanned("logs", "c", group.scheduler.now()).ok());
    for (auto promotion = 0; promotion < 2; ++promotion) {
        group.endpoints["a"].reachable = true;
        group.runFor(5s);
        CHECK(group.view.phase == GroupPhase::Fencing);
        CHECK(group.endpoints["c"].promotedInTerms.empty());
    }
    group.endpoints["b"].reachable = true;
    group.runFor(5s);
    CHECK(group.view.primary == "b");
}

// Guards against a promotion that passes over a replica which registered while the leases expired.
TEST_CASE("a replica that registers during the failover is asked for its position")
{
    auto group = GroupSimulation();
    group.view.synchronousReplicas = 1;
    group.coordinator->groupChanged(group.view, group.scheduler.now());
    isolatePrimary(group);
    group.runFor(2500ms);
    REQUIRE(group.view.phase == GroupPhase::Fencing);
    group.endpoints["n"] = GroupSimulation::Endpoint();
    group.endpoints["n"].position.index = 12;
    group.view.endpoints.push_back({"n", "4"});
    group.coordinator->groupChanged(group.view, group.scheduler.now());
    group.runFor(4s);
    CHECK(group.view.phase == GroupPhase::Serving);
    CHECK(group.view.primary == "n");
}

TEST_CASE("of equally advanced replicas one that is not leaving is promoted")
{
    auto group = GroupSimulation();
    group.view.synchronousReplicas = 1;
    group.endpoints["c"].position.index = 11;
    group.view.endpoints[1].leaving = true;
    group.coordinator->groupChanged(group.view, group.scheduler.now());
    isolatePrimary(group);
    group.runFor(7s);
    CHECK(group.view.primary == "c");
}

} // namespace auburnrail
