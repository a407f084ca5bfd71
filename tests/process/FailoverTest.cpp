#include "FleetFixture.h"

#include <callers/CallerCodec.h>
#include <http/HttpConnection.h>

#include <catch2/catch.hpp>

#include <set>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

/// Name of the primary that the fleet state publishes.
auto primaryOf(TestFleet &fleet, const std::string &group) -> std::string
{
    const auto output = fleet.mustCommand({"--json", "group", "show", group});
    const auto begin = output.find("\"primary\"");
    const auto open = output.find('"', output.find(':', begin));
    return output.substr(open + 1, output.find('"', open + 1) - open - 1);
}

/// Appends the numbers from `first` to `last` to one value, each with an idempotency key and resent
/// until it is answered. Returns the numbers that were acknowledged.
auto appendNumbers(TestFleet &fleet, const std::string &key, int first, int last) -> std::set<int>
{
    auto acknowledged = std::set<int>();
    for (auto number = first; number <= last; ++number) {
        const auto entry = "entry-" + std::to_string(number % 3 + 1);
        const auto done = fleet.eventually(60s, [&] {
            auto append = request(key, AccessMode::Write,
                                  "APPEND turns [" + std::to_string(number) + "]", 3s);
            append.idempotencyKey = "turn-" + std::to_string(number);
            return fleet.call(entry, append).reason == ReasonCode::Completed;
        });
        if (done)
            acknowledged.insert(number);
    }
    return acknowledged;
}

/// Every acknowledged number must stand in the value exactly once.
auto checkAppended(TestFleet &fleet, const std::string &key, const std::set<int> &acknowledged)
    -> void
{
    const auto answer = fleet.call("entry-2", request(key, AccessMode::Read, "GET turns", 10s));
    REQUIRE(answer.reason == ReasonCode::Completed);
    for (const auto number : acknowledged) {
        INFO(number);
        CHECK(countOf(answer.result, "[" + std::to_string(number) + "]") == 1);
    }
}

enum class PrimaryFault : std::uint8_t {
    Killed,
    Frozen,
    WokenLate,
};

} // namespace

// Guards against writes that are lost or doubled when their primary is replaced, also by an old
// primary that wakes up after the promotion.
TEST_CASE("acknowledged writes survive a failover exactly once")
{
    const auto fault =
        GENERATE(PrimaryFault::Killed, PrimaryFault::Frozen, PrimaryFault::WokenLate);
    INFO("fault " << static_cast<int>(fault));
    auto fleet = TestFleet(fleetSettings());
    fleet.start();
    const auto key = configure(fleet, "shed", 200, 100);
    REQUIRE(writeEventually(fleet, "entry-1", key, "PUT bale 1").reason == ReasonCode::Completed);
    auto acknowledged = appendNumbers(fleet, key, 1, 20);
    const auto old = primaryOf(fleet, "logs");
    if (fault == PrimaryFault::Killed)
        fleet.process(old).kill();
    else
        fleet.process(old).freeze();
    acknowledged.merge(appendNumbers(fleet, key, 21, 40));
    CHECK(primaryOf(fleet, "logs") != old);
    if (fault == PrimaryFault::WokenLate)
        fleet.process(old).resume();
    acknowledged.merge(appendNumbers(fleet, key, 41, 60));
    CHECK(acknowledged.size() == 60);
    checkAppended(fleet, key, acknowledged);
}

// Guards against an entry that leaves a half-done transaction on a connection which is used again.
TEST_CASE("an entry killed inside a transaction leaves nothing behind")
{
    auto fleet = TestFleet(fleetSettings());
    fleet.start();
    const auto key = configure(fleet, "shed", 200, 100);
    REQUIRE(writeEventually(fleet, "entry-1", key, "PUT bale 1").reason == ReasonCode::Completed);
    auto connection = HttpConnection(fleet.address("entry-1"));
    const auto send = [&](CallerRequest callerRequest) {
        const auto now = std::chrono::steady_clock::now();
        return decodeCallerResponse(
            connection.exchange(encodeCallerRequest(callerRequest, now), 10s).response);
    };
    auto begin = request(key, AccessMode::Write, "", 5s);
    begin.kind = RequestKind::Begin;
    const auto begun = send(begin);
    REQUIRE_FALSE(begun.transaction.empty());
    auto write = request(key, AccessMode::Write, "PUT bale 2", 5s);
    write.transaction = begun.transaction;
    REQUIRE(send(write).reason == ReasonCode::Completed);
    fleet.process("entry-1").kill();

    const auto read = fleet.call("entry-2", request(key, AccessMode::Read, "GET bale", 10s));
    CHECK(read.result == "1");
    write.deadline = std::chrono::steady_clock::now() + 5s;
    const auto elsewhere = fleet.call("entry-2", write);
    CHECK(elsewhere.reason == ReasonCode::TransactionElsewhere);
    CHECK(elsewhere.outcome == Outcome::NotRun);
}

} // namespace auburnrail
