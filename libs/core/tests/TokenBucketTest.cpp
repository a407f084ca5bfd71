#include <core/TokenBucket.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

// Guards against tokens out of nothing: at the start, on growth, and from a clock that steps back.
TEST_CASE("token bucket starts empty and growth adds room, not tokens")
{
    auto bucket = TokenBucket(10, 2, TimePoint(0s));
    CHECK_FALSE(bucket.tryTake(TimePoint(0s)));
    CHECK(bucket.timeToToken(TimePoint(0s)) == Duration(100ms));
    CHECK(bucket.tryTake(TimePoint(100ms)));
    CHECK(bucket.level(TimePoint(10s)) == Approx(2.0));
    bucket.setLimits(10, 50, TimePoint(10s));
    CHECK(bucket.level(TimePoint(10s)) == Approx(2.0));
    bucket.setLimits(10, 1, TimePoint(10s));
    CHECK(bucket.level(TimePoint(10s)) == Approx(1.0));
    CHECK(bucket.tryTake(TimePoint(10s)));
    CHECK_FALSE(bucket.tryTake(TimePoint(1s)));
    CHECK_FALSE(bucket.tryTake(TimePoint(10s)));
}

TEST_CASE("token bucket tells when no token can come")
{
    CHECK_FALSE(TokenBucket(10, 0.9, TimePoint()).timeToToken(TimePoint(1h)));
    CHECK_FALSE(TokenBucket(0, 5, TimePoint()).timeToToken(TimePoint(1h)));
}

} // namespace auburnrail
