#include <http/HttpConnection.h>
#include <http/HttpServer.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <vector>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

auto echoSettings() -> HttpServerSettings
{
    return HttpServerSettings{.address = "127.0.0.1:0", .workerThreads = 4, .maxBodyBytes = 64};
}

auto addressOf(const HttpServer &server) -> std::string
{
    return "127.0.0.1:" + std::to_string(server.port());
}

auto echo(const HttpRequest &request) -> HttpResponse
{
    return HttpResponse{.status = 200, .headers = {}, .body = request.target + request.body};
}

} // namespace

TEST_CASE("exchanges share one keep-alive connection")
{
    auto opened = std::atomic<int>(0);
    auto closed = std::atomic<int>(0);
    auto server = HttpServer(echoSettings(), HttpServerHooks{.handle = echo,
                                                             .opened =
                                                                 [&](std::uint64_t) {
                                                                     ++opened;
                                                                     return true;
                                                                 },
                                                             .closed =
                                                                 [&](std::uint64_t) {
                                                                     ++closed;
                                                                 }});
    REQUIRE(server.start().ok());
    {
        auto connection = HttpConnection(addressOf(server));
        for (const auto *body : {"one", "two"}) {
            const auto result = connection.exchange({.target = "/x", .body = body}, 5s);
            REQUIRE(result.phase == ExchangePhase::Answered);
            CHECK(result.response.body == "/x" + std::string(body));
        }
    }
    server.stop();
    CHECK(opened == 1);
    CHECK(closed == 1);
}

// Guards against idle connections that hold every worker, so that a new client is never served.
TEST_CASE("idle connections leave workers for new ones")
{
    auto server = HttpServer(echoSettings(), HttpServerHooks{.handle = echo});
    REQUIRE(server.start().ok());
    auto idle = std::vector<std::unique_ptr<HttpConnection>>();
    for (auto client = 0; client < 12; ++client) {
        INFO("client " << client);
        idle.push_back(std::make_unique<HttpConnection>(addressOf(server)));
        CHECK(idle.back()->exchange({.target = "/x"}, 1s).phase == ExchangePhase::Answered);
    }
    // Those that got a worker early keep their connection.
    CHECK(idle.front()->isUsable());
    CHECK_FALSE(idle.back()->isUsable());
    idle.clear();
    server.stop();
}

// Guards against unbounded memory: an oversized body must be refused and the connection ended.
TEST_CASE("a body over the limit gets status 413")
{
    auto server = HttpServer(echoSettings(), HttpServerHooks{.handle = echo});
    REQUIRE(server.start().ok());
    const auto result =
        exchangeOnce(addressOf(server), {.target = "/x", .body = std::string(65, 'a')}, 5s);
    REQUIRE(result.phase == ExchangePhase::Answered);
    CHECK(result.response.status == 413);
}

// Guards against reporting "sent" for a request that can't have left.
TEST_CASE("a refused connection is told apart from a lost answer")
{
    auto server = HttpServer(echoSettings(), HttpServerHooks{.handle = echo});
    REQUIRE(server.start().ok());
    const auto address = addressOf(server);
    auto idle = HttpConnection(address);
    REQUIRE(idle.exchange({.target = "/"}, 5s).phase == ExchangePhase::Answered);
    server.stop();
    CHECK(idle.exchange({.target = "/"}, 5s).phase == ExchangePhase::Refused);
    CHECK(exchangeOnce(address, {.target = "/"}, 1s).phase == ExchangePhase::Connecting);
}

TEST_CASE("an answer that misses the deadline ends the connection")
{
    auto release = std::atomic<bool>(false);
    auto server = HttpServer(echoSettings(), HttpServerHooks{.handle = [&](const HttpRequest &) {
                                 release.wait(false);
                                 return HttpResponse();
                             }});
    REQUIRE(server.start().ok());
    auto connection = HttpConnection(addressOf(server));
    CHECK(connection.exchange({.target = "/"}, 20ms).phase == ExchangePhase::TimedOut);
    CHECK_FALSE(connection.isUsable());
    release = true;
    release.notify_all();
}

TEST_CASE("a port in use is an error that names the address")
{
    auto first = HttpServer(echoSettings(), HttpServerHooks{.handle = echo});
    REQUIRE(first.start().ok());
    auto settings = echoSettings();
    settings.address = addressOf(first);
    auto second = HttpServer(settings, HttpServerHooks{.handle = echo});
    const auto status = second.start();
    CHECK(status.code() == absl::StatusCode::kUnavailable);
    CHECK(std::string(status.message()).find(settings.address) != std::string::npos);
}

} // namespace auburnrail
