#include "MemberSender.h"

#include "../ConsensusConverter.h"

#include <Consensus.h>
#include <core/MonotonicClock.h>
#include <core/RankedLock.h>
#include <core/StartThread.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace auburnrail::detail {

MemberSender::MemberSender(std::string peerHost, std::uint16_t peerPort,
                           const ConsensusTransportSettings &limits,
                           const ConsensusTransportHooks &callbacks)
    : host(std::move(peerHost))
    , port(peerPort)
    , settings(limits)
    , hooks(callbacks)
    , backoff(limits.minBackoff)
{
}

MemberSender::~MemberSender()
{
    this->stop();
}

auto MemberSender::start() -> absl::Status
{
    auto started = startThread([this] { this->run(); });
    if (!started.ok())
        return started.status();
    this->thread = *std::move(started);
    return absl::OkStatus();
}

auto MemberSender::enqueue(Message message) -> void
{
    auto dueAt = monotonicNow();
    if (this->hooks.delay)
        dueAt += this->hooks.delay(message.from.name, message.to.name);
    const RankedLock lock(this->mutex);
    if (this->queue.size() >= this->settings.queueLimit)
        this->queue.pop_front();
    this->queue.push_back({std::move(message), dueAt});
    this->wakeUp.notifyOne();
}

auto MemberSender::stop() -> void
{
    {
        const RankedLock lock(this->mutex);
        this->stopping = true;
        this->wakeUp.notifyAll();
    }
    if (this->thread.joinable())
        this->thread.join();
}

auto MemberSender::run() -> void
{
    while (const auto message = this->nextMessage()) {
        if (this->hooks.shouldDeliver
            && !this->hooks.shouldDeliver(message->from.name, message->to.name))
            continue;
        try {
            this->transmit(*message);
        } catch (const apache::thrift::TException &) {
            this->client.reset();
            this->waitAfterFailure();
        }
    }
    this->client.reset();
}

auto MemberSender::nextMessage() -> std::optional<Message>
{
    const RankedLock lock(this->mutex);
    while (!this->stopping) {
        if (this->queue.empty()) {
            this->wakeUp.wait(this->mutex);
        } else if (this->queue.front().dueAt > monotonicNow()) {
            this->wakeUp.waitUntil(this->mutex, this->queue.front().dueAt);
        } else {
            auto message = std::move(this->queue.front().message);
            this->queue.pop_front();
            return message;
        }
    }
    return std::nullopt;
}

auto MemberSender::transmit(const Message &message) -> void
{
    if (!this->client)
        this->connect();
    this->client->deliver(toWire(message));
    this->backoff = this->settings.minBackoff;
}

auto MemberSender::connect() -> void
{
    auto socket = std::make_shared<apache::thrift::transport::TSocket>(this->host, this->port);
    socket->setConnTimeout(static_cast<int>(toMillis(this->settings.connectTimeout)));
    socket->setSendTimeout(static_cast<int>(toMillis(this->settings.sendTimeout)));
    socket->setNoDelay(true);
    socket->open();
    const auto limit = static_cast<unsigned int>(toMillis(this->settings.sendTimeout));
    ::setsockopt(socket->getSocketFD(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
    auto framed = std::make_shared<apache::thrift::transport::TFramedTransport>(socket);
    this->client = std::make_unique<wire::ConsensusClient>(
        std::make_shared<apache::thrift::protocol::TCompactProtocol>(framed));
}

auto MemberSender::waitAfterFailure() -> void
{
    const auto end = monotonicNow() + this->backoff;
    this->backoff = std::min(this->backoff * 2, this->settings.maxBackoff);
    const RankedLock lock(this->mutex);
    while (!this->stopping && monotonicNow() < end)
        this->wakeUp.waitUntil(this->mutex, end);
}

} // namespace auburnrail::detail
