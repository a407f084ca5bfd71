#include <wire/ConsensusTransport.h>

#include "detail/ConsensusHandler.h"
#include "detail/FrameProtocol.h"
#include "detail/FrameServer.h"
#include "detail/MemberSender.h"

#include <core/RankedLock.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <thrift/TOutput.h>

#include <cassert>
#include <map>
#include <utility>

namespace auburnrail {

namespace {

using apache::thrift::transport::TMemoryBuffer;

/// Messages of one member are handled in their order; two threads serve the others meanwhile.
constexpr auto THREAD_COUNT = std::size_t(2);

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
    std::unique_ptr<wire::ConsensusProcessor> processor;
    std::unique_ptr<detail::FrameServer> server;
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
    this->impl->processor = std::make_unique<wire::ConsensusProcessor>(
        std::make_shared<detail::ConsensusHandler>(this->impl->hooks.received));
    this->impl->server = std::make_unique<detail::FrameServer>(
        "consensus", this->impl->settings.address, THREAD_COUNT,
        [processor = this->impl->processor.get()](std::string request, const detail::FrameReply &) {
            // Messages between members have no response.
            processor->process(detail::protocolOver(request),
                               detail::protocolOver(std::make_shared<TMemoryBuffer>()), nullptr);
        });
    auto status = this->impl->server->start();
    if (!status.ok())
        this->impl->server.reset();
    return status;
}

auto ConsensusTransport::addMember(const MemberName &name, const std::string &address)
    -> absl::Status
{
    const auto parsed = parseAddress(address);
    if (!parsed.ok())
        return parsed.status();
    auto sender = std::make_shared<detail::MemberSender>(parsed->host().toString(), parsed->port(),
                                                         this->impl->settings, this->impl->hooks);
    if (auto status = sender->start(); !status.ok())
        return status;
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
        this->impl->server.reset();
    }
}

auto ConsensusTransport::port() const -> std::uint16_t
{
    return this->impl->server ? this->impl->server->port() : 0;
}

} // namespace auburnrail
