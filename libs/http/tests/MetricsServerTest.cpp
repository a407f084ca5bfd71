#include <http/MetricsServer.h>

#include <catch2/catch.hpp>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace auburnrail {

namespace {

auto get(std::uint16_t port, const std::string &path) -> std::pair<int, std::string>
{
    auto session = Poco::Net::HTTPClientSession("127.0.0.1", port);
    auto request = Poco::Net::HTTPRequest("GET", path);
    session.sendRequest(request);
    auto response = Poco::Net::HTTPResponse();
    auto &stream = session.receiveResponse(response);
    auto body = std::string();
    Poco::StreamCopier::copyToString(stream, body);
    return {response.getStatus(), body};
}

} // namespace

// Guards against a metrics port that shows anything but metrics.
TEST_CASE("the metrics server serves metrics and nothing else")
{
    auto server = MetricsServer("127.0.0.1:0", [] { return "up 1\n"; });
    REQUIRE(server.start().ok());
    CHECK(get(server.port(), "/metrics") == std::pair<int, std::string>{200, "up 1\n"});
    CHECK(get(server.port(), "/v1/state").first == 404);
    server.stop();
}

TEST_CASE("without an address no metrics server is started")
{
    auto server = MetricsServer("", [] { return std::string(); });
    CHECK(server.start().ok());
    CHECK(server.port() == 0);
    server.stop();
}

} // namespace auburnrail
