#include <wire/ControlServer.h>

#include "HeartbeatCodec.h"
#include "TokenCodec.h"
#include "WireLimits.h"

#include <Control.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <future>
#include <thread>

namespace auburnrail {

namespace {

/// Ends a thread whose entry has vanished without closing its connection.
constexpr auto IDLE_CONNECTION_LIMIT_MS = 30000;

class ControlHandler : public thriftgen::ControlIf
{
public:
    explicit ControlHandler(ControlServerHooks serverHooks)
        : hooks(std::move(serverHooks))
    {
    }

    auto heartbeat(thriftgen::HeartbeatAnswerMessage &answer,
                   const thriftgen::HeartbeatMessage &message) -> void override
    {
        answer =
            detail::toMessage(this->hooks.heartbeat(detail::fromMessage(message)), this->payloads);
    }

    auto takeTokens(thriftgen::TokenResponseMessage &response,
                    const thriftgen::TokenRequestMessage &request) -> void override
    {
        response = detail::toMessage(this->hooks.takeTokens(detail::fromMessage(request)));
    }

private:
    const ControlServerHooks hooks;
    detail::HeartbeatPayloads payloads;
};

/// Tells the starting thread that the server listens.
class ListenSignal : public apache::thrift::server::TServerEventHandler
{
public:
    auto preServe() -> void override
    {
        this->listening.set_value(absl::OkStatus());
    }

    std::promise<absl::Status> listening;
};

} // namespace

struct ControlServer::Impl
{
    std::string address;
    ControlServerHooks hooks;
    std::shared_ptr<apache::thrift::server::TThreadedServer> server;
    std::thread thread;
};

ControlServer::ControlServer(std::string address, ControlServerHooks serverHooks)
    : impl(std::make_unique<Impl>())
{
    this->impl->address = std::move(address);
    this->impl->hooks = std::move(serverHooks);
}

ControlServer::~ControlServer()
{
    this->stop();
}

auto ControlServer::start() -> absl::Status
{
    try {
        const auto own = Poco::Net::SocketAddress(this->impl->address);
        auto socket = std::make_shared<apache::thrift::transport::TServerSocket>(
            own.host().toString(), own.port());
        socket->setRecvTimeout(IDLE_CONNECTION_LIMIT_MS);
        socket->setSendTimeout(IDLE_CONNECTION_LIMIT_MS);
        this->impl->server = std::make_shared<apache::thrift::server::TThreadedServer>(
            std::make_shared<thriftgen::ControlProcessor>(
                std::make_shared<ControlHandler>(this->impl->hooks)),
            socket, std::make_shared<apache::thrift::transport::TFramedTransportFactory>(),
            std::make_shared<apache::thrift::protocol::TCompactProtocolFactory>(
                detail::NO_STRING_LIMIT, detail::MAX_CONTAINER_ITEMS));
    } catch (const Poco::Exception &error) {
        return absl::UnavailableError("can't listen on " + this->impl->address + ": "
                                      + error.displayText());
    }
    auto signal = std::make_shared<ListenSignal>();
    auto listening = signal->listening.get_future();
    this->impl->server->setServerEventHandler(signal);
    this->impl->thread = std::thread([server = this->impl->server, signal] {
        try {
            server->serve();
        } catch (const apache::thrift::TException &error) {
            signal->listening.set_value(absl::UnavailableError(error.what()));
        }
    });
    auto status = listening.get();
    if (status.ok())
        return status;
    this->impl->thread.join();
    return absl::UnavailableError("can't listen on " + this->impl->address + ": "
                                  + std::string(status.message()));
}

auto ControlServer::stop() -> void
{
    if (!this->impl->thread.joinable())
        return;
    this->impl->server->stop();
    this->impl->thread.join();
}

} // namespace auburnrail
