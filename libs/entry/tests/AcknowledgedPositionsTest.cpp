#include <entry/AcknowledgedPositions.h>

#include <lease/LeaseTiming.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

constexpr auto START = TimePoint(std::chrono::hours(1));
constexpr auto AFTER_GRACE = START + ACKNOWLEDGEMENT_GRACE + Duration(1);

} // namespace

// Guards against a report that control takes for final while a commit under way may still be
// acknowledged.
TEST_CASE("an entry reports what it has acknowledged once it acknowledges nothing more")
{
    auto positions = AcknowledgedPositions();
    positions.record("g", Position{3, 7});
    CHECK(positions.finalReports(AFTER_GRACE).empty());
    positions.primaryReplaced("g", 4, START);
    CHECK(positions.finalReports(START + ACKNOWLEDGEMENT_GRACE).empty());
    positions.record("g", Position{3, 9});
    positions.record("g", Position{3, 8});
    CHECK(positions.finalReports(AFTER_GRACE)
          == std::vector<AcknowledgedReport>{{"g", 4, Position{3, 9}}});
    // A further term begins no new wait, since no primary was published.
    positions.primaryReplaced("g", 5, AFTER_GRACE);
    CHECK(positions.finalReports(AFTER_GRACE)
          == std::vector<AcknowledgedReport>{{"g", 5, Position{3, 9}}});
    positions.primaryPublished("g");
    CHECK(positions.finalReports(AFTER_GRACE).empty());
    positions.primaryReplaced("g", 6, AFTER_GRACE);
    CHECK(positions.finalReports(AFTER_GRACE).empty());
}

TEST_CASE("an entry that has acknowledged nothing reports that, too")
{
    auto positions = AcknowledgedPositions();
    positions.primaryReplaced("g", 2, START);
    CHECK(positions.finalReports(AFTER_GRACE) == std::vector<AcknowledgedReport>{{"g", 2, {}}});
}

// Guards against a report that leaves out a write whose position the server didn't name.
TEST_CASE("an entry that doesn't know how far it has acknowledged reports nothing")
{
    auto positions = AcknowledgedPositions();
    positions.record("g", std::nullopt);
    positions.record("g", Position{1, 5});
    positions.primaryReplaced("g", 2, START);
    CHECK(positions.finalReports(AFTER_GRACE).empty());
}

} // namespace auburnrail
