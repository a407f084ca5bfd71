#include <proxy/PrimaryPositions.h>
#include <proxy/StatementPlacement.h>

#include <core/RandomSource.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

using namespace std::chrono_literals;

constexpr auto START = TimePoint(100s);

} // namespace

// Guards against reads that miss a commit older than their maximum staleness.
TEST_CASE("a read with a maximum staleness requires the oldest sample that is new enough")
{
    auto positions = PrimaryPositions();
    positions.setTerm("g", 3);
    positions.record("g", 3, Position{3, 10}, START);
    positions.record("g", 3, Position{3, 20}, START + 500ms);
    positions.record("g", 3, Position{3, 30}, START + 1000ms);
    const auto now = START + 1200ms;
    CHECK(positions.required("g", 1500ms, now) == Position{3, 10});
    CHECK(positions.required("g", 1000ms, now) == Position{3, 20});
    CHECK(positions.required("g", 300ms, now) == Position{3, 30});
    CHECK(positions.required("g", 100ms, now) == std::nullopt);
    CHECK(positions.required("other", 1500ms, now) == std::nullopt);
}

TEST_CASE("responses of another term and late responses are ignored")
{
    auto positions = PrimaryPositions();
    positions.setTerm("g", 3);
    positions.record("g", 3, Position{3, 20}, START + 500ms);
    positions.record("g", 3, Position{3, 10}, START);
    positions.record("g", 2, Position{2, 99}, START + 800ms);
    CHECK(positions.required("g", 10s, START + 900ms) == Position{3, 20});
    positions.setTerm("g", 4);
    CHECK(positions.required("g", 10s, START + 900ms) == std::nullopt);
}

TEST_CASE("placement of statements")
{
    auto endpoints = EndpointTable("z1", makeNearestFirst());
    endpoints.updateFromState(
        {{.name = "near", .group = "g", .zone = "z1", .term = 3},
         {.name = "far", .group = "g", .zone = "z2", .term = 3},
         {.name = "lead", .group = "g", .zone = "z3", .term = 3, .primary = true}});
    auto positions = PrimaryPositions();
    positions.setTerm("g", 3);
    auto serving = true;
    auto placement = StatementPlacement(
        endpoints, positions,
        [&serving](const std::string &group) {
            return GroupView{.group = group, .term = 3, .primary = "lead", .serving = serving};
        },
        makeSeededRandom(1));
    const auto observe = [&](const std::string &name, Position position, TimePoint at) {
        endpoints.recordResponse(
            name, EndpointObservation{.position = position, .term = 3, .sentAt = at}, at);
    };
    for (const auto *name : {"near", "far", "lead"})
        observe(name, Position{3, 10}, START);
    auto read = PlacementRequest{
        .group = "g", .consistency = ReadConsistency::ReadYourWrites, .maxStaleness = 1500ms};
    const auto now = START + 100ms;

    SECTION("a read goes to the primary while the position of the primary is unknown")
    {
        CHECK(placement.place(read, now)->endpoint == "lead");
    }
    SECTION("a read goes to the nearest replica that has reached the position")
    {
        positions.record("g", 3, Position{3, 10}, START);
        const auto chosen = placement.place(read, now);
        CHECK(chosen->endpoint == "near");
        CHECK(chosen->minimumPosition == Position{3, 10});
        read.except = {"near"};
        CHECK(placement.place(read, now)->endpoint != "near");
    }
    SECTION("a read after the session's own commit goes to the primary instead of waiting")
    {
        positions.record("g", 3, Position{3, 10}, START);
        read.sessionPosition = Position{3, 11};
        CHECK(placement.place(read, now)->endpoint == "lead");
        observe("near", Position{3, 12}, now);
        CHECK(placement.place(read, now)->endpoint == "near");
        read.consistency = ReadConsistency::BoundedStaleness;
        CHECK(placement.place(read, now)->minimumPosition == Position{3, 10});
    }
    SECTION("a write waits while the group has no primary")
    {
        auto write = PlacementRequest{.group = "g", .needsPrimary = true};
        CHECK(placement.place(write, now)->isPrimary);
        serving = false;
        CHECK_FALSE(placement.place(write, now));
    }
}

} // namespace auburnrail
