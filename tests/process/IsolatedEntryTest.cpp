#include "ControlQueries.h"
#include "FleetFixture.h"

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto WAIT_LIMIT = 60s;
constexpr auto REQUEST_LIMIT = 2s;
constexpr auto STATED_AGE = 1h;

auto keyedRead(TestFleet &fleet, const std::string &entry, const std::string &key) -> CallerResponse
{
    return fleet.call(entry, request(key, AccessMode::Read, "GET bale", REQUEST_LIMIT));
}

auto openRead(TestFleet &fleet, const std::string &entry, std::optional<Duration> maxAge)
    -> CallerResponse
{
    auto read = request("", AccessMode::Read, "GET bale", REQUEST_LIMIT);
    read.maxAge = maxAge;
    return fleet.call(entry, read);
}

} // namespace

// Guards against an entry that serves with a configuration it can no longer know: cut off from
// control it can't learn that a key was withdrawn, so it must refuse everything but the reads that
// the operators marked, and must refuse truthfully.
TEST_CASE("an entry that is cut off from control serves only the reads marked for it")
{
    auto settings = fleetSettings();
    settings.links = true;
    auto fleet = TestFleet(settings);
    fleet.start();
    const auto key = configure(fleet, "shed", 100, 50);
    fleet.mustCommand({"route", "set", "public", "--service", "logs", "--open", "true",
                       "--isolated-reads", "true"});
    REQUIRE(writeEventually(fleet, "entry-1", key, "PUT bale 42").reason == ReasonCode::Completed);
    REQUIRE(fleet.eventually(
        WAIT_LIMIT, [&] { return openRead(fleet, "entry-1", STATED_AGE).result == "42"; }));

    fleet.isolate("entry-1");
    auto refusal = CallerResponse();
    const auto refused = fleet.eventually(WAIT_LIMIT, [&] {
        refusal = keyedRead(fleet, "entry-1", key);
        return refusal.reason == ReasonCode::LeaseExpired;
    });
    INFO(nameOf(refusal.reason) << " " << refusal.message);
    REQUIRE(refused);
    CHECK(refusal.outcome == Outcome::NotRun);

    const auto write =
        fleet.call("entry-1", request(key, AccessMode::Write, "PUT bale 43", REQUEST_LIMIT));
    CHECK(write.reason == ReasonCode::LeaseExpired);
    CHECK(write.outcome == Outcome::NotRun);
    const auto fresh = openRead(fleet, "entry-1", std::nullopt);
    CHECK(fresh.reason == ReasonCode::LeaseExpired);
    CHECK(fresh.outcome == Outcome::NotRun);
    auto aged = CallerResponse();
    const auto served = fleet.eventually(WAIT_LIMIT, [&] {
        aged = openRead(fleet, "entry-1", STATED_AGE);
        return aged.reason == ReasonCode::Completed;
    });
    INFO(nameOf(aged.reason) << " " << aged.message);
    CHECK(served);
    CHECK(aged.result == "42");

    // The refused write was not run, and the other entries go on.
    CHECK(writeEventually(fleet, "entry-2", key, "PUT crate 1").reason == ReasonCode::Completed);
    auto other = CallerResponse();
    CHECK(fleet.eventually(WAIT_LIMIT, [&] {
        other = keyedRead(fleet, "entry-2", key);
        return other.reason == ReasonCode::Completed;
    }));
    CHECK(other.result == "42");

    fleet.reconnect("entry-1");
    CHECK(fleet.eventually(WAIT_LIMIT, [&] {
        return keyedRead(fleet, "entry-1", key).reason == ReasonCode::Completed;
    }));
    CHECK(writeEventually(fleet, "entry-1", key, "PUT bale 44").reason == ReasonCode::Completed);
}

} // namespace auburnrail
