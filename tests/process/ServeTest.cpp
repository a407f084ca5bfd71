#include "FleetFixture.h"

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

// Guards the whole path: configuration, lease, quota, routing, confirmation and sessions.
TEST_CASE("a session writes through one entry and reads its write through another")
{
    auto fleet = TestFleet(fleetSettings());
    fleet.start();
    const auto key = configure(fleet, "shed", 100, 50);
    auto written = writeEventually(fleet, "entry-1", key, "PUT bale 42");
    INFO(written.message << nameOf(written.reason) << fleet.logOf("control-1"));
    REQUIRE(written.reason == ReasonCode::Completed);
    REQUIRE_FALSE(written.sessionToken.empty());
    for (const auto *entry : {"entry-2", "entry-3", "entry-1"}) {
        auto read = request(key, AccessMode::Read, "GET bale", 2s);
        read.sessionToken = written.sessionToken;
        const auto answer = fleet.call(entry, read);
        INFO(entry << " " << answer.message);
        CHECK(answer.reason == ReasonCode::Completed);
        CHECK(answer.result == "42");
    }
}

} // namespace auburnrail
