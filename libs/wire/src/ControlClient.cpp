#include <wire/ControlClient.h>

#include "HeartbeatCodec.h"
#include "TokenCodec.h"
#include "WireLimits.h"

#include <Control.h>

#include <core/MonotonicClock.h>

#include <Poco/Net/SocketAddress.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <poll.h>

#include <functional>

namespace auburnrail {

namespace {

using apache::thrift::transport::TTransportException;

/// How soon a wait for a response ends when it is not wanted any more.
constexpr auto WANTED_CHECK_INTERVAL = std::chrono::milliseconds(100);

} // namespace

struct ControlClient::Impl
{
    explicit Impl(const std::string &address)
    {
        const auto peer = Poco::Net::SocketAddress(address);
        this->socket = std::make_shared<apache::thrift::transport::TSocket>(peer.host().toString(),
                                                                            peer.port());
        this->transport =
            std::make_shared<apache::thrift::transport::TFramedTransport>(this->socket);
        this->client = std::make_unique<thriftgen::ControlClient>(
            std::make_shared<apache::thrift::protocol::TCompactProtocol>(
                this->transport, detail::NO_STRING_LIMIT, detail::MAX_CONTAINER_ITEMS));
    }

    /// Connects when needed and runs `exchange`, with `timeout` for each step.
    auto call(Duration timeout,
              const std::function<auto(thriftgen::ControlClient &client)->void> &exchange)
        -> absl::Status
    {
        try {
            const auto millis = static_cast<int>(toMillis(timeout));
            this->socket->setConnTimeout(millis);
            this->socket->setRecvTimeout(millis);
            this->socket->setSendTimeout(millis);
            if (!this->transport->isOpen())
                this->transport->open();
            exchange(*this->client);
            return absl::OkStatus();
        } catch (const apache::thrift::TException &error) {
            // A late response must not be taken for the response to the next call.
            this->transport->close();
            return absl::UnavailableError(error.what());
        }
    }

    /// Returns when a response begins to arrive; throws at the time-out and when the response is
    /// not wanted any more.
    auto awaitResponse(Duration timeout, const std::function<auto()->bool> &isWanted) const -> void
    {
        const auto end = monotonicNow() + timeout;
        auto descriptor = pollfd{.fd = this->socket->getSocketFD(), .events = POLLIN, .revents = 0};
        while (::poll(&descriptor, 1, static_cast<int>(toMillis(WANTED_CHECK_INTERVAL))) <= 0) {
            if (!isWanted())
                throw TTransportException(TTransportException::INTERRUPTED, "not wanted any more");
            if (monotonicNow() >= end)
                throw TTransportException(TTransportException::TIMED_OUT, "no response");
        }
    }

    std::shared_ptr<apache::thrift::transport::TSocket> socket;
    std::shared_ptr<apache::thrift::transport::TTransport> transport;
    std::unique_ptr<thriftgen::ControlClient> client;
};

ControlClient::ControlClient(const std::string &address)
    : impl(std::make_unique<Impl>(address))
{
}

ControlClient::~ControlClient() = default;

auto ControlClient::heartbeat(const Heartbeat &message, Duration timeout)
    -> absl::StatusOr<HeartbeatAnswer>
{
    auto answer = thriftgen::HeartbeatAnswerMessage();
    const auto status =
        this->impl->call(timeout, [&answer, &message](thriftgen::ControlClient &client) {
            client.heartbeat(answer, detail::toMessage(message));
        });
    if (!status.ok())
        return status;
    return detail::fromMessage(answer);
}

auto ControlClient::takeTokens(const TokenRequest &request, Duration timeout,
                               const std::function<auto()->bool> &isWanted)
    -> absl::StatusOr<TokenResponse>
{
    auto response = thriftgen::TokenResponseMessage();
    const auto status =
        this->impl->call(timeout, [&, impl = this->impl.get()](thriftgen::ControlClient &client) {
            client.send_takeTokens(detail::toMessage(request));
            impl->awaitResponse(timeout, isWanted);
            client.recv_takeTokens(response);
        });
    if (!status.ok())
        return status;
    return detail::fromMessage(response);
}

} // namespace auburnrail
