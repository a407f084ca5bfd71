#include <wire/ControlClient.h>

#include "HeartbeatCodec.h"
#include "WireLimits.h"

#include <Control.h>

#include <Poco/Net/SocketAddress.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

namespace auburnrail {

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
    try {
        const auto millis = static_cast<int>(toMillis(timeout));
        this->impl->socket->setConnTimeout(millis);
        this->impl->socket->setRecvTimeout(millis);
        this->impl->socket->setSendTimeout(millis);
        if (!this->impl->transport->isOpen())
            this->impl->transport->open();
        auto answer = thriftgen::HeartbeatAnswerMessage();
        this->impl->client->heartbeat(answer, detail::toMessage(message));
        return detail::fromMessage(answer);
    } catch (const apache::thrift::TException &error) {
        // A late answer must not be taken for the answer to the next heartbeat.
        this->impl->transport->close();
        return absl::UnavailableError(error.what());
    }
}

} // namespace auburnrail
