#include <processtest/TcpLink.h>

#include "LinkPipe.h"
#include "LinkState.h"

#include <core/RankedLock.h>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <list>
#include <thread>

namespace auburnrail {

namespace {

constexpr auto ACCEPT_WAIT_US = 50000;
constexpr auto CONNECT_WAIT_US = 1000000;

} // namespace

struct TcpLink::Impl
{
    Impl(const std::string &targetAddress, Duration delay)
        : target(targetAddress)
        , state(delay)
        , server(Poco::Net::SocketAddress("127.0.0.1:0"))
        , acceptor([this] { this->acceptLoop(); })
    {
    }

    ~Impl()
    {
        this->state.close();
        this->acceptor.join();
        for (auto &pipe : this->pipes)
            pipe.shutdown();
    }

    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;

    auto acceptLoop() -> void
    {
        while (!this->state.isClosed()) {
            if (!this->server.poll(Poco::Timespan(ACCEPT_WAIT_US), Poco::Net::Socket::SELECT_READ))
                continue;
            try {
                this->forward(this->server.acceptConnection());
            } catch (const Poco::Exception &) {
                // The target refused; the accepted socket closes, as a refused connection would.
            }
        }
    }

    auto forward(Poco::Net::StreamSocket incoming) -> void
    {
        auto outgoing = Poco::Net::StreamSocket();
        outgoing.connect(this->target, Poco::Timespan(CONNECT_WAIT_US));
        outgoing.setNoDelay(true);
        incoming.setNoDelay(true);
        this->pipes.emplace_back(incoming, outgoing, this->state);
        this->pipes.emplace_back(outgoing, incoming, this->state);
    }

    Poco::Net::SocketAddress target;
    detail::LinkState state;
    Poco::Net::ServerSocket server;
    std::list<detail::LinkPipe> pipes; ///< Used by the acceptor, and by the destructor after it.
    std::thread acceptor;
};

TcpLink::TcpLink(const std::string &target, Duration oneWayDelay)
    : impl(std::make_unique<Impl>(target, oneWayDelay))
{
}

TcpLink::~TcpLink() = default;

auto TcpLink::address() const -> std::string
{
    return this->impl->server.address().toString();
}

auto TcpLink::cut() -> void
{
    this->impl->state.setCut(true);
}

auto TcpLink::heal() -> void
{
    this->impl->state.setCut(false);
}

auto TcpLink::setDelay(Duration oneWayDelay) -> void
{
    this->impl->state.setDelay(oneWayDelay);
}

} // namespace auburnrail
