#include <wire/ConsensusTransport.h>

#include "WireLimits.h"

#include "detail/ConsensusHandler.h"
#include "detail/MemberSender.h"
#include "detail/StartSignal.h"

#include <core/RankedLock.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <thrift/TOutput.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <cassert>
#include <map>
#include <thread>
#include <utility>

namespace auburnrail {

namespace {

using apache::thrift::protocol::TCompactProtocolFactory;
using apache::thrift::server::TThreadedServer;
using apache::thrift::transport::TFramedTransportFactory;
using apache::thrift::transport::TServerSocket;

auto parseAddress(const std::string &address) -> absl::StatusOr<Poco::Net::SocketAddress>
{
    try {
        return Poco::Net::SocketAddress(address);
    } catch (const Poco::Exception &error) {
        return absl::InvalidArgumentError("address " + address + ": " + error.displayText());
    }
}

} // namespace

struct ConsensusTransport::Impl
{
    ConsensusTransportSettings settings;
    ConsensusTransportHooks hooks;
    RankedMutex mutex{LockRank::Connection};
    std::map<MemberName, std::shared_ptr<detail::MemberSender>> senders ABSL_GUARDED_BY(mutex);
    std::shared_ptr<TServerSocket> socket;
    std::unique_ptr<TThreadedServer> server;
    std::thread serverThread;
};

ConsensusTransport::ConsensusTransport(ConsensusTransportSettings settings,
                                       ConsensusTransportHooks hooks)
{
    assert(hooks.received && "hooks.received must be set");
    assert(settings.queueLimit > 0 && "queueLimit must be at least 1");
    // Thrift prints each failed connect to the standard error stream otherwise.
    apache::thrift::GlobalOutput.setOutputFunction([](const char *) {});
    this->impl = std::make_unique<Impl>();
    this->impl->settings = std::move(settings);
    this->impl->hooks = std::move(hooks);
}

ConsensusTransport::~ConsensusTransport()
{
    this->stop();
}

auto ConsensusTransport::start() -> absl::Status
{
    const auto address = parseAddress(this->impl->settings.address);
    if (!address.ok())
        return address.status();
    this->impl->socket =
        std::make_shared<TServerSocket>(address->host().toString(), address->port());
    this->impl->socket->setKeepAlive(true);
    this->impl->server = std::make_unique<TThreadedServer>(
        std::make_shared<wire::ConsensusProcessor>(
            std::make_shared<detail::ConsensusHandler>(this->impl->hooks.received)),
        this->impl->socket, std::make_shared<TFramedTransportFactory>(),
        std::make_shared<TCompactProtocolFactory>(detail::NO_STRING_LIMIT,
                                                  detail::MAX_CONTAINER_ITEMS));
    auto signal = std::make_shared<detail::StartSignal>();
    this->impl->server->setServerEventHandler(signal);
    auto started = signal->future();
    this->impl->serverThread = std::thread([server = this->impl->server.get(), signal] {
        try {
            server->serve();
        } catch (const std::exception &) {
            signal->fail();
        }
    });
    try {
        started.get();
        return absl::OkStatus();
    } catch (const std::exception &error) {
        this->impl->serverThread.join();
        this->impl->server.reset();
        return absl::UnavailableError("can't listen on " + this->impl->settings.address + ": "
                                      + error.what());
    }
}

auto ConsensusTransport::addMember(const MemberName &name, const std::string &address)
    -> absl::Status
{
    const auto parsed = parseAddress(address);
    if (!parsed.ok())
        return parsed.status();
    auto sender = std::make_shared<detail::MemberSender>(parsed->host().toString(), parsed->port(),
                                                         this->impl->settings, this->impl->hooks);
    {
        const RankedLock lock(this->impl->mutex);
        std::swap(this->impl->senders[name], sender);
    }
    // A replaced sender is stopped here, outside the lock.
    return absl::OkStatus();
}

auto ConsensusTransport::knows(const MemberName &name) -> bool
{
    const RankedLock lock(this->impl->mutex);
    return this->impl->senders.contains(name);
}

auto ConsensusTransport::send(Message message) -> void
{
    auto sender = std::shared_ptr<detail::MemberSender>();
    {
        const RankedLock lock(this->impl->mutex);
        const auto found = this->impl->senders.find(message.to.name);
        if (found != this->impl->senders.end())
            sender = found->second;
    }
    if (sender)
        sender->enqueue(std::move(message));
}

auto ConsensusTransport::stop() -> void
{
    auto senders = std::map<MemberName, std::shared_ptr<detail::MemberSender>>();
    {
        const RankedLock lock(this->impl->mutex);
        std::swap(senders, this->impl->senders);
    }
    for (const auto &[name, sender] : senders)
        sender->stop();
    if (this->impl->server) {
        this->impl->server->stop();
        this->impl->serverThread.join();
        this->impl->server.reset();
    }
}

auto ConsensusTransport::port() const -> std::uint16_t
{
    return this->impl->socket ? static_cast<std::uint16_t>(this->impl->socket->getPort()) : 0;
}

} // namespace auburnrail
