#include "ControlQueries.h"
#include "FleetFixture.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto ROUNDS = 5;

auto readAll(const std::string &path) -> std::string
{
    auto text = std::ostringstream();
    text << std::ifstream(path).rdbuf();
    return text.str();
}

/// Runs the operators' program twice at the same time, with the same control members and with one
/// list of arguments each.
auto race(const TestFleet &fleet, const std::vector<std::vector<std::string>> &runs)
    -> std::vector<ProgramResult>
{
    auto controls = std::string();
    for (const auto &name : controlNames())
        controls += (controls.empty() ? "" : ",") + fleet.operatorsAddress(name);
    auto programs = std::vector<std::unique_ptr<ChildProcess>>();
    auto logs = std::vector<std::string>();
    for (const auto &words : runs) {
        auto arguments = std::vector<std::string>{"--control", controls};
        arguments.insert(arguments.end(), words.begin(), words.end());
        logs.push_back(fleet.folder() + "/" + words[1] + ".out");
        programs.push_back(std::make_unique<ChildProcess>(
            fleetSettings().binDirectory + "/auburnrail", arguments, logs.back()));
    }
    auto results = std::vector<ProgramResult>();
    for (auto index = std::size_t(0); index < programs.size(); ++index) {
        const auto status = programs[index]->waitForExit(60s);
        results.push_back({.exitStatus = status.value_or(-1), .output = readAll(logs[index])});
    }
    return results;
}

auto changedAt(const TestFleet &fleet, const std::string &control) -> std::int64_t
{
    auto state = getJson(fleet, control, "/v1/state?kind=organisation&name=shed");
    REQUIRE(state);
    auto objects = state->objects("objects");
    REQUIRE(objects.size() == 1);
    return objects.front().integer("changed_at");
}

} // namespace

// Guards against a lost change: of two operators who saw the same revision, the later one must not
// overwrite the change of the other, and must learn whose change it was.
TEST_CASE("one of two operators with equal expected revisions succeeds")
{
    auto fleet = TestFleet(fleetSettings());
    fleet.start();
    std::ignore = configure(fleet, "shed", 100, 50);
    for (auto round = 0; round < ROUNDS; ++round) {
        const auto seen = std::to_string(changedAt(fleet, waitForLeader(fleet)));
        auto ids = std::vector<std::string>();
        auto runs = std::vector<std::vector<std::string>>();
        for (const auto *name : {"anna", "bert"}) {
            ids.push_back(name + std::to_string(round));
            runs.push_back({"--command-id", ids.back(), "--expect-revision", seen, "label", "set",
                            "organisation", "shed", "shift=" + ids.back()});
        }
        const auto results = race(fleet, runs);
        INFO(results[0].output << results[1].output);
        const auto winner = results[0].exitStatus == 0 ? std::size_t(0) : std::size_t(1);
        const auto &loser = results[1 - winner];
        CHECK(results[winner].exitStatus == 0);
        CHECK(loser.exitStatus == 1);
        CHECK(loser.output.find("command " + ids[winner] + " came first") != std::string::npos);
        CHECK(labelAt(fleet, waitForLeader(fleet), "shed", "shift") == ids[winner]);
    }
}

// Guards against a command that takes effect twice when its answer was lost: the memory of results
// must survive a change of leader and a restart of every member.
TEST_CASE("a resent command gets its first result after a leader change and a restart of all")
{
    auto fleet = TestFleet(fleetSettings());
    fleet.start();
    std::ignore = configure(fleet, "shed", 100, 50);
    const auto resent = std::vector<std::string>{"--command-id", "first", "label",        "set",
                                                 "organisation", "shed",  "shift=morning"};
    const auto first = commandEventually(fleet, resent);
    commandEventually(fleet, {"label", "set", "organisation", "shed", "shift=evening"});
    CHECK(commandEventually(fleet, resent) == first);

    const auto killed = waitForLeader(fleet);
    fleet.process(killed).kill();
    std::ignore = waitForLeader(fleet, killed);
    CHECK(commandEventually(fleet, resent) == first);

    for (const auto &name : controlNames())
        fleet.process(name).kill();
    for (const auto &name : controlNames())
        fleet.startProcess(name);
    CHECK(commandEventually(fleet, resent) == first);
    CHECK(labelAt(fleet, waitForLeader(fleet), "shed", "shift") == "evening");
}

} // namespace auburnrail
