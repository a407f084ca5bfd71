#include "ControlQueries.h"
#include "FleetFixture.h"

#include <consensus/ConsensusSettings.h>
#include <http/HttpConnection.h>
#include <operators/OperatorClient.h>

#include <catch2/catch.hpp>

#include <map>
#include <thread>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto WAIT_LIMIT = 60s;
constexpr auto SNAPSHOT_CHANGES = static_cast<int>(SNAPSHOT_INTERVAL) + 200;

/// Members by name/incarnation as `leader` lists them; true marks a voter.
auto membersAt(const TestFleet &fleet, const std::string &leader) -> std::map<std::string, bool>
{
    auto result = std::map<std::string, bool>();
    if (auto list = getJson(fleet, leader, "/v1/members")) {
        for (auto &member : list->objects("members"))
            result[member.text("member")] = member.boolean("voter");
    }
    return result;
}

auto votes(const std::map<std::string, bool> &members, const std::string &identity) -> bool
{
    const auto found = members.find(identity);
    return found != members.end() && found->second;
}

/// Identity of a member that runs; empty when it does not answer.
auto identityOf(const TestFleet &fleet, const std::string &name) -> std::string
{
    auto list = getJson(fleet, name, "/v1/members");
    return list ? list->text("self") : "";
}

auto roleOf(const TestFleet &fleet, const std::string &name) -> std::string
{
    auto list = getJson(fleet, name, "/v1/members");
    return list ? list->text("role") : "";
}

/// Sends commands to the leader and resends them with the same id when the leader changes, which a
/// busy machine can bring about at any time.
auto clientOf(const TestFleet &fleet) -> OperatorClient
{
    auto addresses = std::vector<std::string>();
    for (const auto &name : controlNames())
        addresses.push_back(fleet.operatorsAddress(name));
    return OperatorClient(ClientHooks{.exchange = exchangeOnce,
                                      .now = [] { return std::chrono::steady_clock::now(); },
                                      .pause =
                                          [](Duration length) {
                                              std::this_thread::sleep_for(length);
                                          }},
                          addresses);
}

/// Kills `name` and removes its data directory.
auto loseMember(TestFleet &fleet, const std::string &name) -> void
{
    fleet.process(name).kill();
    fleet.loseDisk(name);
}

/// Starts `name` on an empty disk and waits until it votes under a new identity. Fails when the old
/// and the new identity are voters together, which would give one machine two votes.
auto repair(TestFleet &fleet, const std::string &name, const std::string &lost) -> void
{
    fleet.startProcess(name);
    auto votedTwice = false;
    auto members = std::map<std::string, bool>();
    const auto repaired = fleet.eventually(WAIT_LIMIT, [&] {
        const auto identity = identityOf(fleet, name);
        members = membersAt(fleet, waitForLeader(fleet));
        const auto isVoter = identity != lost && votes(members, identity);
        votedTwice = votedTwice || (isVoter && votes(members, lost));
        return isVoter;
    });
    auto list = std::string();
    for (const auto &[member, voter] : members)
        list += member + (voter ? " voter; " : " learner; ");
    INFO(name << " lost " << lost << ", members: " << list << fleet.logOf(name));
    CHECK(repaired);
    CHECK_FALSE(votedTwice);
    CHECK_FALSE(members.contains(lost));
}

} // namespace

// Guards against a repair that only looks finished: a member that was rebuilt from nothing must
// count in the majority that is left when the next member is lost with its disk.
TEST_CASE("a member lost right after the repair of another leaves a working majority")
{
    auto fleet = TestFleet(fleetSettings());
    fleet.start();
    std::ignore = configure(fleet, "shed", 100, 50);
    const auto leader = waitForLeader(fleet);
    const auto first = std::string(leader == "control-1" ? "control-2" : "control-1");
    const auto firstLost = identityOf(fleet, first);
    REQUIRE_FALSE(firstLost.empty());
    loseMember(fleet, first);
    commandEventually(fleet, {"label", "set", "organisation", "shed", "shift=one"});
    repair(fleet, first, firstLost);

    const auto second = waitForLeader(fleet);
    const auto secondLost = identityOf(fleet, second);
    REQUIRE_FALSE(secondLost.empty());
    loseMember(fleet, second);
    commandEventually(fleet, {"label", "set", "organisation", "shed", "shift=two"});
    repair(fleet, second, secondLost);
    commandEventually(fleet, {"label", "set", "organisation", "shed", "shift=three"});
    const auto changed = leaderRevision(fleet);
    for (const auto &name : controlNames()) {
        CHECK(reachesRevision(fleet, name, changed));
        CHECK(labelAt(fleet, name, "shed", "shift") == "three");
        CHECK(roleOf(fleet, name) != "learner");
    }
}

// Guards against a member that votes or counts before it has the log: without a leader to send it
// the log, a member on an empty disk must stay a learner and must not found a cluster of its own.
TEST_CASE("members on empty disks stay learners while no majority is left")
{
    auto fleet = TestFleet(fleetSettings());
    fleet.start();
    std::ignore = configure(fleet, "shed", 100, 50);
    for (const auto *name : {"control-1", "control-2"})
        loseMember(fleet, name);
    for (const auto *name : {"control-1", "control-2"}) {
        fleet.startProcess(name);
        CHECK(fleet.eventually(WAIT_LIMIT, [&] { return roleOf(fleet, name) == "learner"; }));
    }
    const auto answer =
        submitTo(fleet, "control-1",
                 Command{CommandHeader{.commandId = "empty",
                                       .baseRevision = 0,
                                       .expectedRevision = std::nullopt,
                                       .operatorName = "test"},
                         SetLabel{ObjectKind::Organisation, "shed", "shift", "night"}});
    CHECK(answer.status != SubmitStatus::Decided);
    CHECK(roleOf(fleet, "control-1") == "learner");
    CHECK(roleOf(fleet, "control-2") == "learner");
}

// Guards against processes that can't catch up by many changes at once: by entries of the log, and,
// when the leader has dropped those, by a snapshot.
TEST_CASE("a member and an entry that were down for 500 changes catch up")
{
    const auto changes = GENERATE(500, SNAPSHOT_CHANGES);
    auto fleet = TestFleet(fleetSettings());
    fleet.start();
    const auto key = configure(fleet, "shed", 100, 50);
    const auto leader = waitForLeader(fleet);
    const auto down = std::string(leader == "control-1" ? "control-2" : "control-1");
    fleet.process(down).kill();
    fleet.process("entry-3").kill();

    auto applied = 0;
    auto client = clientOf(fleet);
    for (auto change = 0; change < changes; ++change) {
        const auto value = std::to_string(change);
        const auto command = Command{CommandHeader{.commandId = "change-" + value,
                                                   .baseRevision = revisionOf(fleet, leader),
                                                   .expectedRevision = std::nullopt,
                                                   .operatorName = "test"},
                                     SetLabel{ObjectKind::Organisation, "shed", "shift", value}};
        const auto answer = client.submit(command, WAIT_LIMIT);
        INFO(value << " " << answer.message << answer.result.message);
        REQUIRE(answer.status == SubmitStatus::Decided);
        applied += answer.result.status == CommandStatus::Applied ? 1 : 0;
    }
    CHECK(applied == changes);

    const auto changed = leaderRevision(fleet, down);
    fleet.startProcess(down);
    CHECK(reachesRevision(fleet, down, changed));
    CHECK(labelAt(fleet, down, "shed", "shift") == std::to_string(changes - 1));
    fleet.startProcess("entry-3");
    CHECK(writeEventually(fleet, "entry-3", key, "PUT bale 1").reason == ReasonCode::Completed);
}

} // namespace auburnrail
