#include "FleetFixture.h"

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

// Guards against a burn report that dies with the entry that counted or stays empty on a new
// leader, and against operators' commands that do not reach the processes.
TEST_CASE(
    "the burn report keeps a lost entry's counts, and a new leader gets those of live entries")
{
    auto fleet = TestFleet(fleetSettings());
    fleet.start();
    const auto key = configure(fleet, "shed", 100, 50);
    fleet.mustCommand({"objective", "set", "up", "--measure", "availability", "--target", "0.9",
                       "--window-s", "86400"});
    REQUIRE(writeEventually(fleet, "entry-1", key, "PUT bale 1").reason == ReasonCode::Completed);
    for (auto count = 0; count < 5; ++count)
        (void)fleet.call("entry-1", request(key, AccessMode::Read, "GET bale", 2s));
    CHECK_THAT(fleet.mustCommand({"explain", "failover", "logs"}),
               Catch::Contains("cause=initial"));
    CHECK_THAT(fleet.mustCommand({"entries"}), Catch::Contains("entry-3"));
    CHECK_THAT(fleet.mustCommand({"explain", "selector", "tier=gold"}), Catch::Contains("shed"));
    const auto goodCount = [&] {
        const auto output = fleet.command({"report", "burn"}).output;
        const auto start = output.find("): ");
        return start == std::string::npos ? 0 : std::stoi(output.substr(start + 3));
    };
    const auto burnHasAll = [&] {
        return goodCount() >= 6;
    };
    REQUIRE(fleet.eventually(15s, burnHasAll));
    const auto before = goodCount();
    fleet.process("entry-1").kill();
    CHECK(goodCount() >= before);
    (void)fleet.call("entry-2", request(key, AccessMode::Read, "GET bale", 2s));
    REQUIRE(fleet.eventually(15s, [&] { return goodCount() > before; }));
    // What entry-1 counted goes with the leader; what entry-2 counted comes back from entry-2.
    const auto members = fleet.mustCommand({"members"});
    const auto start = members.find("leader ") + 7;
    fleet.process(members.substr(start, members.find(',') - start)).kill();
    CHECK(fleet.eventually(20s, [&] { return goodCount() >= 1; }));
}

} // namespace auburnrail
