#include <http/HttpServer.h>

#include <core/Time.h>

#include <catch2/catch.hpp>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <thread>

namespace auburnrail {

namespace {

using namespace std::chrono_literals;

/// While it exists, this process can open no further descriptor.
class NoDescriptors
{
public:
    NoDescriptors()
    {
        ::getrlimit(RLIMIT_NOFILE, &this->before);
        const auto next = ::dup(0);
        ::close(next);
        auto limit = this->before;
        limit.rlim_cur = static_cast<rlim_t>(next);
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }

    NoDescriptors(const NoDescriptors &) = delete;
    auto operator=(const NoDescriptors &) -> NoDescriptors & = delete;

    ~NoDescriptors()
    {
        ::setrlimit(RLIMIT_NOFILE, &this->before);
    }

private:
    rlimit before{};
};

auto processorTime() -> Duration
{
    auto usage = rusage();
    ::getrusage(RUSAGE_SELF, &usage);
    const auto toDuration = [](const timeval &time) {
        return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
    };
    return toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
}

} // namespace

// Guards against a server that uses a whole core, and says nothing, while it has no descriptor left
// to accept a connection with.
TEST_CASE("a server without descriptors waits, says so, and serves later")
{
    auto refusals = std::atomic<int>(0);
    auto server = HttpServer({.address = "127.0.0.1:0"},
                             {.handle = [](const HttpRequest &) { return HttpResponse(); },
                              .acceptRefused =
                                  [&](const absl::Status &) {
                                      ++refusals;
                                  }});
    REQUIRE(server.start().ok());
    auto client = Poco::Net::HTTPClientSession("127.0.0.1", server.port());
    auto request = Poco::Net::HTTPRequest("GET", "/");
    client.setKeepAlive(true);
    {
        const auto socket = Poco::Net::SocketAddress("127.0.0.1", server.port());
        auto connection = Poco::Net::StreamSocket();
        connection.connectNB(socket);
        const auto without = NoDescriptors();
        const auto before = processorTime();
        std::this_thread::sleep_for(500ms);
        CHECK(processorTime() - before < 100ms);
        CHECK(refusals > 0);
        connection.close();
    }
    client.sendRequest(request);
    auto response = Poco::Net::HTTPResponse();
    client.receiveResponse(response);
    CHECK(response.getStatus() == 200);
    server.stop();
}

} // namespace auburnrail
