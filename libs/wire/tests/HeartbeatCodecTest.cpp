#include "HeartbeatCodec.h"

#include <catch2/catch.hpp>

namespace auburnrail::detail {

// Guards against counts that change on their way, and a later version's reason that fails a lease.
TEST_CASE("a heartbeat carries burn counts, and an unknown reason is still counted")
{
    auto heartbeat = Heartbeat{.instance = "e1", .incarnation = 7};
    heartbeat.burn = {
        {.source = "e1/7",
         .startMillis = 60'000,
         .rows = {{BurnKey{"available", "logs", "shed", ReasonCode::NoPrimary}, BurnCount{3, 2}},
                  {BurnKey{"available", "logs", "", ReasonCode::Completed}, BurnCount{9, 0}}}}};
    auto message = toMessage(heartbeat);
    const auto same = fromMessage(message);
    REQUIRE(same.burn.size() == 1);
    CHECK(same.burn.front().source == "e1/7");
    CHECK(same.burn.front().startMillis == 60'000);
    CHECK(same.burn.front().rows == heartbeat.burn.front().rows);
    message.burn.front().rows.front().reason = 9999;
    message.burn.front().rows.front().bad = -1;
    const auto odd = fromMessage(message);
    CHECK(odd.burn.front().rows.front().key.reason == ReasonCode::InternalError);
    CHECK(odd.burn.front().rows.front().count == BurnCount{3, 0});
}

} // namespace auburnrail::detail
