#include <core/DecayingAverage.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

TEST_CASE("an average follows what is measured and halves while nothing is")
{
    auto average = DecayingAverage();
    const auto start = TimePoint(100s);
    CHECK(average.value(start) == Duration::zero());
    average.add(400ms, start);
    CHECK(average.value(start) == 400ms);
    CHECK(average.value(start + DecayingAverage::HALF_LIFE_MS) == 200ms);
    average.add(100ms, start + 10ms);
    CHECK(average.value(start + 10ms) == 340ms);
}

} // namespace auburnrail
