#include <standin/StandInFaults.h>

#include <catch2/catch.hpp>

#include <future>

namespace auburnrail {

using namespace std::chrono_literals;

// Guards against a resumed exchange that is lost when its peer is cut off right after the freeze.
TEST_CASE("an exchange held by a freeze runs after it, even if its peer is cut off next")
{
    for (auto round = 0; round < 50; ++round) {
        auto faults = StandInFaults(Duration(), Duration());
        faults.apply(FaultCommand{.kind = FaultKind::Freeze, .on = true});
        auto admitted =
            std::async(std::launch::async, [&faults] { return faults.admit("127.0.0.1"); });
        while (faults.heldExchanges() == 0)
            REQUIRE(admitted.wait_for(1ms) == std::future_status::timeout);
        faults.apply(FaultCommand{.kind = FaultKind::Freeze, .on = false});
        faults.apply(FaultCommand{.kind = FaultKind::Cut, .on = true, .peers = {"127.0.0.1"}});
        const auto ran = admitted.wait_for(1s) == std::future_status::ready;
        faults.apply(FaultCommand{.kind = FaultKind::Cut, .on = false, .peers = {"127.0.0.1"}});
        CHECK(ran);
        CHECK(admitted.get());
    }
}

} // namespace auburnrail
