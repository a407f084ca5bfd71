#include <processtest/TcpLink.h>

#include <http/HttpConnection.h>
#include <http/HttpServer.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

// Guards the other process tests: a cut has to be silent, not a reset.
TEST_CASE("a link delays, and a cut link carries nothing until it heals")
{
    auto server = HttpServer(HttpServerSettings{.address = "127.0.0.1:0"},
                             HttpServerHooks{.handle = [](const HttpRequest &) {
                                 return HttpResponse();
                             }});
    REQUIRE(server.start().ok());
    auto link = TcpLink("127.0.0.1:" + std::to_string(server.port()), 10ms);
    auto connection = HttpConnection(link.address());
    const auto start = std::chrono::steady_clock::now();
    REQUIRE(connection.exchange({.target = "/"}, 5s).phase == ExchangePhase::Answered);
    CHECK(std::chrono::steady_clock::now() - start >= 20ms);
    link.cut();
    CHECK(connection.exchange({.target = "/"}, 50ms).phase == ExchangePhase::TimedOut);
    link.heal();
    CHECK(exchangeOnce(link.address(), {.target = "/"}, 5s).phase == ExchangePhase::Answered);
}

} // namespace auburnrail
