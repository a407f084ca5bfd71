#include "detail/ListeningSocket.h"

#include <core/ProcessorTime.h>

#include <catch2/catch.hpp>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include <sys/socket.h>

#include <atomic>
#include <thread>

namespace auburnrail {

namespace {

using namespace std::chrono_literals;

/// Never asked for a connection, since none is accepted.
class NoConnections : public Poco::Net::TCPServerConnectionFactory
{
public:
    auto createConnection(const Poco::Net::StreamSocket & /*socket*/)
        -> Poco::Net::TCPServerConnection * override
    {
        return nullptr;
    }
};

} // namespace

// Guards against a server that uses a whole core, and says nothing, while it can't accept
// connections. A socket that is shut down is ready and refuses each accept, as one does without
// descriptors; running out of these would also take them from the sanitizers.
TEST_CASE("a server that can't accept connections says so and pauses")
{
    auto refusals = std::atomic<int>(0);
    auto socket = detail::ListeningSocket([&](const absl::Status &status) {
        refusals += status.code() == absl::StatusCode::kResourceExhausted ? 1 : 0;
    });
    socket.bind(Poco::Net::SocketAddress("127.0.0.1:0"), true, false);
    socket.listen(1);
    auto server = Poco::Net::TCPServer(new NoConnections(), socket);
    server.start();
    std::this_thread::sleep_for(50ms);
    CHECK(refusals == 0);
    REQUIRE(::shutdown(socket.impl()->sockfd(), SHUT_RD) == 0);
    const auto before = processorTime();
    std::this_thread::sleep_for(500ms);
    CHECK(processorTime() - before < 100ms);
    CHECK(refusals >= 1);
    CHECK(refusals <= 11);
    server.stop();
}

} // namespace auburnrail
