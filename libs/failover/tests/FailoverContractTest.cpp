#include "GroupSimulation.h"

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

// Guards against a group that stays without a primary until the leader changes.
TEST_CASE("another endpoint is promoted when the chosen one departs before it is published")
{
    auto group = GroupSimulation();
    // Without the endpoint that departs, a majority can still be fenced.
    group.endpoints["d"] = GroupSimulation::Endpoint();
    group.view.endpoints.push_back({"d", "4"});
    group.coordinator->groupChanged(group.view, group.scheduler.now());
    group.departsOnPromotion = "b";
    isolatePrimary(group);
    group.runFor(12s);
    CHECK(group.view.primary == "c");
    checkServing(group);
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

// Guards against a replica that receives nothing after a failover, because it was told to follow
// only once, while it accepted no connection.
TEST_CASE("a replica is told to follow until it confirms it, also by the next leader")
{
    auto group = GroupSimulation();
    group.endpoints["c"].refusesFollow = true;
    isolatePrimary(group);
    group.runFor(7s);
    REQUIRE(group.view.phase == GroupPhase::Serving);
    CHECK(group.endpoints["c"].fenced);
    if (GENERATE(false, true)) {
        group.restartLeader();
        group.runFor(1s);
    }
    group.endpoints["c"].refusesFollow = false;
    group.runFor(1200ms);
    CHECK_FALSE(group.endpoints["c"].fenced);
    CHECK(group.endpoints["c"].following == group.view.primary);
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

// Guards against a group that has no primary until the leader changes: the confirmed reports
// started a second attempt, whose grant of the same term was refused for ever.
TEST_CASE("a planned promotion of a primary that is suspected meanwhile completes")
{
    for (auto beforePlan = 1000ms; beforePlan < 2000ms; beforePlan += 1ms) {
        auto group = GroupSimulation();
        group.cutOffEntries = {"e1", "e2", "e3"};
        group.runFor(beforePlan);
        std::ignore = group.coordinator->promotePlanned("logs", "b", group.scheduler.now());
        group.runFor(1s);
        group.cutOffEntries.clear();
        group.runFor(7s);
        INFO("planned after " << beforePlan.count() << " ms");
        REQUIRE(group.view.phase == GroupPhase::Serving);
    }
}

TEST_CASE("a failover goes on when its term is granted without a confirmation")
{
    auto group = GroupSimulation();
    group.losesGrantConfirmation = true;
    isolatePrimary(group);
    group.runFor(7s);
    CHECK(group.view.phase == GroupPhase::Serving);
    CHECK(group.view.primary == "b");
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

} // namespace auburnrail
