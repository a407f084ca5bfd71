#include "RelaySession.h"

#include <relay/RelayTiming.h>

#include <state/KeySecret.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace auburnrail::detail {

namespace {

auto makeNonce(const RandomSource &random) -> std::string
{
    return absl::StrCat(absl::Hex(random(), absl::kZeroPad16),
                        absl::Hex(random(), absl::kZeroPad16));
}

} // namespace

RelaySession::RelaySession(StreamConnection::Pointer sessionStream,
                           std::shared_ptr<RelayServer::Shared> serverShared)
    : stream(std::move(sessionStream))
    , shared(std::move(serverShared))
    , nonce(makeNonce(shared->hooks.random))
{
}

auto RelaySession::start() -> void
{
    this->stream->start(StreamHooks{
        .received = [self = this->shared_from_this()](auto bytes) { return self->received(bytes); },
        .closed =
            [self = this->shared_from_this()] {
                self->closed = true;
                self->closeAll();
            }});
    this->send(RelayChallenge{.nonce = this->nonce});
}

auto RelaySession::now() const -> TimePoint
{
    return this->shared->hooks.now();
}

auto RelaySession::send(const RelayMessage &message) -> void
{
    this->stream->send(this->shared->hooks.codec.encode(message));
}

auto RelaySession::reject(const std::string &reason) -> void
{
    if (this->shared->hooks.peerRejected)
        this->shared->hooks.peerRejected(reason);
    this->closed = true; // What arrived in the same bytes is not read.
    this->stream->close();
}

auto RelaySession::received(std::string_view bytes) -> std::size_t
{
    // Ending the stream drops its hooks, which hold this object.
    const auto self = this->shared_from_this();
    auto consumed = std::size_t(0);
    while (!this->closed) {
        auto input = this->shared->hooks.codec.decode(bytes.substr(consumed));
        if (!input.ok()) {
            this->reject(std::string(input.status().message()));
            return bytes.size();
        }
        if (!*input)
            return consumed;
        consumed += (*input)->bytes;
        this->take(std::move((*input)->message));
    }
    return bytes.size();
}

auto RelaySession::take(RelayMessage message) -> void
{
    if (const auto *hello = std::get_if<RelayHello>(&message); hello != nullptr)
        this->authenticate(*hello);
    else if (!this->authenticated)
        this->reject("a message before the proof of membership");
    else if (auto *request = std::get_if<RelayRequest>(&message); request != nullptr)
        this->takeRequest(std::move(*request));
    else if (const auto *end = std::get_if<RelayEnd>(&message); end != nullptr)
        this->takeEnd(*end);
    else if (const auto *status = std::get_if<RelayStatusRequest>(&message); status != nullptr)
        this->takeStatusRequest(*status);
    else if (std::holds_alternative<RelayPing>(message))
        this->send(RelayPong());
    else
        this->reject("a message that only a holder sends");
}

auto RelaySession::authenticate(const RelayHello &hello) -> void
{
    const auto expected = hashKey(this->nonce, this->shared->hooks.clusterSecret);
    this->authenticated = equalInConstantTime(hello.proof, expected);
    if (!this->authenticated)
        this->reject("no member of the cluster: " + hello.instance);
}

auto RelaySession::channelOf(const RelayRequest &request) -> ChannelPointer
{
    const auto found = this->channels.find(request.channel);
    if (found != this->channels.end())
        return found->second;
    // The channel was closed here, for example because its connection was lost.
    if (!request.opening) {
        this->refuseUnopened(request, RelayRefusal::NoConnection);
        return nullptr;
    }
    if (this->shared->draining) {
        this->refuseUnopened(request, RelayRefusal::ShuttingDown);
        return nullptr;
    }
    if (this->channels.size() >= RELAY_MAX_CHANNELS) {
        this->refuseUnopened(request, RelayRefusal::Overloaded);
        return nullptr;
    }
    auto channel = std::make_shared<HeldChannel>();
    channel->opening = *request.opening;
    channel->openedAt = this->now();
    this->channels.emplace(request.channel, channel);
    ++this->shared->channels;
    return channel;
}

auto RelaySession::takeRequest(RelayRequest request) -> void
{
    const auto channel = this->channelOf(request);
    if (channel == nullptr)
        return;
    if (channel->current) {
        this->reject("a second request on a channel");
        return;
    }
    if (request.values)
        channel->values = *std::move(request.values);
    channel->current = std::move(request);
    ++this->shared->busyChannels;
    channel->receivedAt = this->now();
    if (channel->connection == nullptr) {
        this->lease(channel);
        return;
    }
    this->leased(channel, channel->connection);
}

auto RelaySession::takeEnd(const RelayEnd &end) -> void
{
    const auto found = this->channels.find(end.channel);
    if (found == this->channels.end())
        return;
    const auto channel = found->second;
    if (channel->current) {
        channel->ended = true; // Closed when the request ends.
        return;
    }
    this->close(channel, end.reusable);
}

auto RelaySession::close(const ChannelPointer &channel, bool reusable) -> void
{
    const auto erased =
        std::erase_if(this->channels, [&](const auto &row) { return row.second == channel; });
    this->shared->channels -= erased;
    this->endRequest(channel);
    const auto connection = std::exchange(channel->connection, nullptr);
    if (connection != nullptr)
        this->shared->hooks.release(connection, reusable && !channel->inTransaction);
}

auto RelaySession::closeAll() -> void
{
    for (const auto &[number, channel] : std::map(this->channels)) {
        channel->ended = true;
        if (!channel->current)
            this->close(channel, false);
    }
}

auto RelaySession::takeStatusRequest(const RelayStatusRequest &request) -> void
{
    using Status = RelayServerHooks::Status;
    this->shared->hooks.status(request.endpoint, [self = this->shared_from_this(),
                                                  request](const std::optional<Status> &status) {
        auto response = RelayStatusResponse{.number = request.number,
                                            .known = status.has_value(),
                                            .load = self->shared->hooks.loadOf(request.endpoint)};
        if (status) {
            response.position = status->position;
            response.age = status->age;
        }
        self->send(response);
    });
}

} // namespace auburnrail::detail
