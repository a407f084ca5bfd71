#include "FleetFixture.h"

#include <endpoint/ControlCodec.h>
#include <http/HttpConnection.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

/// Sets a fault at every endpoint of the group, so that it meets the primary and the replicas.
auto setFault(TestFleet &fleet, FaultKind kind, std::int64_t count, Duration length) -> void
{
    for (const auto *endpoint : {"logs-1", "logs-2", "logs-3"}) {
        const auto command =
            FaultCommand{.exchangeId = "fault", .kind = kind, .count = count, .length = length};
        const auto result = exchangeOnce(fleet.address(endpoint), encodeFaultCommand(command), 5s);
        REQUIRE(result.phase == ExchangePhase::Answered);
    }
}

auto marker(int number) -> std::string
{
    return "[" + std::to_string(number) + "]";
}

} // namespace

// Guards against an answer that reaches the wrong caller, a refusal that is not true, and a write
// that is sent twice, while endpoints answer late, crossed or cut short.
TEST_CASE("late, crossed and truncated answers never make an outcome untrue")
{
    const auto kind = GENERATE(FaultKind::Late, FaultKind::Crossed, FaultKind::Truncated);
    INFO("fault " << nameOf(kind));
    auto fleet = TestFleet(fleetSettings());
    fleet.start();
    const auto key = configure(fleet, "shed", 500, 200);
    REQUIRE(writeEventually(fleet, "entry-1", key, "PUT own x").reason == ReasonCode::Completed);

    auto answers = std::vector<CallerResponse>();
    for (auto number = 0; number < 24; ++number) {
        if (number % 4 == 0)
            setFault(fleet, kind, 2, 700ms);
        const auto entry = "entry-" + std::to_string(number % 3 + 1);
        answers.push_back(fleet.call(
            entry, request(key, AccessMode::Write, "APPEND turns " + marker(number), 500ms)));
        const auto read = fleet.call(entry, request(key, AccessMode::Read, "GET own", 500ms));
        if (read.reason == ReasonCode::Completed)
            CHECK(read.result == "x");
    }
    auto final = CallerResponse();
    REQUIRE(fleet.eventually(60s, [&] {
        final = fleet.call("entry-2", request(key, AccessMode::Read, "GET turns", 5s));
        return final.reason == ReasonCode::Completed;
    }));
    for (auto number = 0; number < static_cast<int>(answers.size()); ++number) {
        const auto &answer = answers[static_cast<std::size_t>(number)];
        const auto count = countOf(final.result, marker(number));
        INFO(number << " " << nameOf(answer.outcome) << " " << nameOf(answer.reason));
        CHECK(count <= 1);
        if (answer.outcome == Outcome::NotRun)
            CHECK(count == 0);
        if (answer.reason == ReasonCode::Completed)
            CHECK(count == 1);
    }
}

// Guards against new work at an endpoint that has announced that it leaves.
TEST_CASE("a leaving replica gets no more reads")
{
    auto fleet = TestFleet(fleetSettings());
    fleet.start();
    const auto key = configure(fleet, "shed", 500, 200);
    const auto written = writeEventually(fleet, "entry-1", key, "PUT bale 1");
    REQUIRE(written.reason == ReasonCode::Completed);
    const auto readFrom = [&](const std::string &entry) {
        auto read = request(key, AccessMode::Read, "GET bale", 5s);
        read.maxAge = 10s;
        return fleet.call(entry, read).endpoint;
    };
    auto replica = std::string();
    REQUIRE(fleet.eventually(30s, [&] {
        replica = readFrom("entry-1");
        return !replica.empty() && replica != written.endpoint;
    }));
    const auto command =
        FaultCommand{.exchangeId = "fault", .kind = FaultKind::Leaving, .on = true};
    REQUIRE(exchangeOnce(fleet.address(replica), encodeFaultCommand(command), 5s).phase
            == ExchangePhase::Answered);
    for (const auto *entry : {"entry-1", "entry-2", "entry-3"}) {
        INFO(entry);
        auto withoutReplica = 0;
        REQUIRE(fleet.eventually(60s, [&] {
            withoutReplica = readFrom(entry) == replica ? 0 : withoutReplica + 1;
            return withoutReplica >= 30;
        }));
        for (auto index = 0; index < 30; ++index)
            CHECK(readFrom(entry) != replica);
    }
}

} // namespace auburnrail
