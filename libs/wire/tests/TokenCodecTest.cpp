#include "TokenCodec.h"

#include <catch2/catch.hpp>

namespace auburnrail::detail {

using namespace std::chrono_literals;

// Guards against waits that get shorter on their way, and against counts of a damaged message.
TEST_CASE("token messages keep counts and waits")
{
    const auto request = TokenRequest{.holder = {"entry-1", 7}, .demands = {{"bale", 3}}};
    auto message = toMessage(request);
    CHECK(fromMessage(message).holder == request.holder);
    CHECK(fromMessage(message).demands == request.demands);
    message.demands.front().tokens = -1;
    CHECK(fromMessage(message).demands.front().tokens == 0);
    const auto response = fromMessage(toMessage(TokenResponse{
        .granting = true,
        .grants = {{.organisation = "bale", .tokens = 2, .wait = 1500ns, .interval = 40ms},
                   {.organisation = "shred", .tokens = 1, .wait = {}}}}));
    REQUIRE(response.grants.size() == 2);
    CHECK(response.granting);
    CHECK(response.grants[0].tokens == 2);
    CHECK(response.grants[0].wait == 2us);
    CHECK(response.grants[0].interval == 40ms);
    CHECK_FALSE(response.grants[1].wait);
}

} // namespace auburnrail::detail
