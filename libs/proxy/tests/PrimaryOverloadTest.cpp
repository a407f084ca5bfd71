#include <PrimaryFleet.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;
using testing::PrimaryFleet;

namespace {

/// Statements that the primary can run, with one opening for each.
constexpr auto CAPACITY_PER_SECOND = 156.0;
constexpr auto OFFERED_PER_SECOND = 115.0;

} // namespace

TEST_CASE("a large fleet serves what a primary has the capacity for")
{
    auto fleet = PrimaryFleet(1);
    fleet.offer(OFFERED_PER_SECOND, 10s);
    const auto calm = fleet.takeCounts();
    CHECK(static_cast<double>(calm.served) >= 0.98 * static_cast<double>(calm.offered));
}

// Guards against an overload that outlasts its cause: refused statements closed their connections,
// so that the primary's slots went to the openings of their retries.
TEST_CASE("a primary serves everything again soon after a burst")
{
    for (const auto seed : {1U, 2U, 3U, 4U}) {
        auto fleet = PrimaryFleet(seed);
        fleet.offer(OFFERED_PER_SECOND, 3s);
        fleet.offerAtOnce(600);
        fleet.offer(OFFERED_PER_SECOND, 8s);
        const auto burst = fleet.takeCounts();
        fleet.offer(OFFERED_PER_SECOND, 10s);
        const auto after = fleet.takeCounts();
        INFO("seed " << seed << ": burst " << burst.served << " of " << burst.offered
                     << ", after it " << after.served << " of " << after.offered << " with "
                     << after.openings << " connections opened");
        CHECK(static_cast<double>(after.served) >= 0.95 * static_cast<double>(after.offered));
        CHECK(static_cast<double>(after.openings) <= 1.5 * static_cast<double>(after.offered));
    }
}

// Guards against an overload in which most of the capacity is lost: connections opened for
// statements whose time was over, and statements refused after they had got one.
TEST_CASE("a primary that is offered more than its capacity serves most of its capacity")
{
    for (const auto factor : {1.3, 2.0, 3.0}) {
        auto fleet = PrimaryFleet(1);
        fleet.offer(factor * CAPACITY_PER_SECOND, 5s);
        std::ignore = fleet.takeCounts();
        fleet.offer(factor * CAPACITY_PER_SECOND, 10s);
        const auto counts = fleet.takeCounts();
        INFO("factor " << factor << ": " << counts.served << " of " << counts.offered << ", "
                       << counts.openings << " connections opened");
        CHECK(static_cast<double>(counts.served) >= 0.8 * 10.0 * CAPACITY_PER_SECOND);
    }
}

} // namespace auburnrail
