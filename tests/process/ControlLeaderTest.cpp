#include "ControlQueries.h"
#include "FleetFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

auto labelCommand(std::string commandId, Revision base, std::string value) -> Command
{
    return Command{CommandHeader{.commandId = std::move(commandId),
                                 .baseRevision = base,
                                 .expectedRevision = std::nullopt,
                                 .operatorName = "test"},
                   SetLabel{ObjectKind::Organisation, "shed", "shift", std::move(value)}};
}

/// Applied revision of every control member, and of every entry as the leader knows it. A process
/// that does not answer is left out.
auto revisionsOf(const TestFleet &fleet, const std::string &leader)
    -> std::map<std::string, std::uint64_t>
{
    auto result = std::map<std::string, std::uint64_t>();
    for (const auto &name : controlNames()) {
        if (auto status = getJson(fleet, name, "/v1/status"))
            result[name] = static_cast<std::uint64_t>(status->integer("revision"));
    }
    auto list = getJson(fleet, leader, "/v1/entries");
    if (list) {
        for (auto &entry : list->objects("entries"))
            result[entry.text("instance")] = static_cast<std::uint64_t>(entry.integer("revision"));
    }
    return result;
}

} // namespace

// Guards against a fleet that needs one particular control member: the killed leader must be
// replaced, and must not return with an older state.
TEST_CASE("a killed control leader is replaced and catches up when it restarts")
{
    auto fleet = TestFleet(fleetSettings());
    fleet.start();
    const auto key = configure(fleet, "shed", 100, 50);
    REQUIRE(writeEventually(fleet, "entry-1", key, "PUT bale 1").reason == ReasonCode::Completed);

    const auto killed = waitForLeader(fleet);
    const auto before = revisionOf(fleet, killed);
    fleet.process(killed).kill();
    CHECK(leaderRevision(fleet, killed) >= before);
    commandEventually(fleet, {"label", "set", "organisation", "shed", "shift=night"});
    for (const auto &entry : entryNames()) {
        const auto answer = writeEventually(fleet, entry, key, "PUT bale " + entry);
        INFO(entry << " " << answer.message);
        CHECK(answer.reason == ReasonCode::Completed);
    }

    const auto changed = leaderRevision(fleet, killed);
    fleet.startProcess(killed);
    CHECK(reachesRevision(fleet, killed, changed));
    CHECK(labelAt(fleet, killed, "shed", "shift") == "night");
}

// Guards against a leader that does not notice a silent partition: it must confirm nothing, must
// not keep the entries from the new leader, and its entries in the log must not win afterwards.
TEST_CASE("a control leader that is cut off silently confirms no command")
{
    auto settings = fleetSettings();
    settings.links = true;
    auto fleet = TestFleet(settings);
    fleet.start();
    const auto key = configure(fleet, "shed", 100, 50);
    REQUIRE(writeEventually(fleet, "entry-1", key, "PUT bale 1").reason == ReasonCode::Completed);

    const auto cutOff = waitForLeader(fleet);
    const auto base = revisionOf(fleet, cutOff);
    fleet.isolate(cutOff);
    const auto atOnce = submitTo(fleet, cutOff, labelCommand("cut-1", base, "lost-1"));
    INFO(nameOf(atOnce.status) << " " << atOnce.message);
    CHECK(atOnce.status != SubmitStatus::Decided);

    std::ignore = waitForLeader(fleet, cutOff);
    const auto later = submitTo(fleet, cutOff, labelCommand("cut-2", base, "lost-2"));
    INFO(nameOf(later.status) << " " << later.message);
    CHECK(later.status != SubmitStatus::Decided);
    commandEventually(fleet, {"label", "set", "organisation", "shed", "shift=night"});
    for (const auto &entry : entryNames()) {
        const auto answer = writeEventually(fleet, entry, key, "PUT bale " + entry);
        INFO(entry << " " << answer.message);
        CHECK(answer.reason == ReasonCode::Completed);
    }

    const auto target = leaderRevision(fleet, cutOff);
    const auto leader = waitForLeader(fleet, cutOff);
    auto highest = revisionsOf(fleet, leader);
    fleet.reconnect(cutOff);
    auto wentDown = false;
    const auto caughtUp = fleet.eventually(60s, [&] {
        for (const auto &[name, revision] : revisionsOf(fleet, leader)) {
            wentDown = wentDown || revision < highest[name];
            highest[name] = std::max(highest[name], revision);
        }
        return highest[cutOff] >= target;
    });
    CHECK(caughtUp);
    CHECK_FALSE(wentDown);
    for (const auto &name : controlNames()) {
        CHECK(reachesRevision(fleet, name, target));
        CHECK(labelAt(fleet, name, "shed", "shift") == "night");
    }
}

} // namespace auburnrail
