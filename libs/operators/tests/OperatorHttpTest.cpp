#include "FakeControl.h"

#include <http/HttpConnection.h>
#include <http/HttpServer.h>

#include <catch2/catch.hpp>

#include <mutex>

namespace auburnrail {

// Guards against requests of the program that an HTTP server takes in another form than they were
// made, such as encoded selectors and requests without a body.
TEST_CASE("the program works over HTTP, and follows a follower's hint to the leader")
{
    auto state = FleetState();
    auto mutex = std::mutex();
    auto leaderHooks = OperatorHooks{
        .submit = [&](const Command &command) -> SubmitAnswer {
            const auto lock = std::lock_guard(mutex);
            return {.status = SubmitStatus::Decided,
                    .result = applyCommand(state, command, state.revision() + 1),
                    .inForce = true};
        },
        .state =
            [&] {
                const auto lock = std::lock_guard(mutex);
                return std::make_shared<const FleetObjects>(state.objects());
            },
        .status =
            [&] {
                const auto lock = std::lock_guard(mutex);
                return ControlStatus{.instance = "control-1", .revision = state.revision()};
            },
    };
    const auto serve = [](const OperatorHooks &hooks) {
        return HttpServerHooks{.handle = [&hooks](const HttpRequest &request) {
            return handleOperatorRequest(hooks, request).value_or(HttpResponse{.status = 404});
        }};
    };
    auto leader = HttpServer({.address = "127.0.0.1:0"}, serve(leaderHooks));
    REQUIRE(leader.start().ok());
    const auto leaderAddress = "127.0.0.1:" + std::to_string(leader.port());
    auto followerHooks = leaderHooks;
    followerHooks.submit = [&leaderAddress](const Command &) {
        return SubmitAnswer{.status = SubmitStatus::NotLeader, .leader = leaderAddress};
    };
    auto follower = HttpServer({.address = "127.0.0.1:0"}, serve(followerHooks));
    REQUIRE(follower.start().ok());

    const auto hooks = ProgramHooks{
        .client = {.exchange = exchangeOnce,
                   .now = [] { return std::chrono::steady_clock::now(); },
                   .pause =
                       [](Duration) {
                       }},
        .random = makeSeededRandom(1),
        .operatorName = "test",
        .controlAddresses = "127.0.0.1:" + std::to_string(follower.port()),
    };
    const auto run = [&hooks](std::vector<std::string> arguments) {
        return runOperatorProgram(hooks, std::move(arguments));
    };
    const auto created =
        run({"organisation", "set", "o", "--rate", "0.1", "--burst", "3", "--label", "tier=gold"});
    CHECK(created.code == ExitCode::Done);
    CHECK_THAT(created.out, Catch::Contains("applied at revision 1, in force everywhere"));
    CHECK(state.objects().find<Organisation>("o")->ratePerSecond == 0.1);
    CHECK(run({"selector", "test", "tier in (gold,silver),!x"}).out == "o\ttier=gold\n");
    CHECK_THAT(run({"organisation", "show", "o"}).out, Catch::Contains("\"burst\":3"));
    CHECK_THAT(run({"--json", "status"}).out, Catch::Contains("\"instance\":\"control-1\""));
    CHECK(run({"organisation", "set", "p", "--burst", "0"}).code == ExitCode::Refused);
}

} // namespace auburnrail
