// What comes from the peer, or doesn't come in time. Sending is in RelayLink.cpp.
#include <relay/detail/RelayLink.h>

#include <state/KeySecret.h>

#include <core/RankedLock.h>

#include <utility>

namespace auburnrail::detail {

auto RelayLink::received(std::string_view bytes) -> std::size_t
{
    // Ending the stream drops its hooks, which hold this object.
    const auto self = this->shared_from_this();
    auto consumed = std::size_t(0);
    {
        const RankedLock lock(this->mutex);
        this->aliveAt = this->now();
        this->pinged = false;
    }
    while (true) {
        auto input = this->hooks->codec.decode(bytes.substr(consumed));
        if (!input.ok()) {
            this->end(std::string(input.status().message()));
            return bytes.size();
        }
        if (!*input)
            return consumed;
        consumed += (*input)->bytes;
        this->take(std::move((*input)->message));
    }
}

auto RelayLink::take(RelayMessage message) -> void
{
    if (const auto *challenge = std::get_if<RelayChallenge>(&message); challenge != nullptr)
        this->answer(*challenge);
    else if (auto *response = std::get_if<RelayResponse>(&message); response != nullptr)
        this->complete(std::move(*response));
    else if (const auto *status = std::get_if<RelayStatusResponse>(&message); status != nullptr)
        this->complete(*status);
    else if (!std::holds_alternative<RelayPong>(message))
        this->end("a message that only an origin sends");
}

auto RelayLink::answer(const RelayChallenge &challenge) -> void
{
    auto bytes = this->hooks->codec.encode(
        RelayHello{.instance = this->hooks->instance,
                   .proof = hashKey(challenge.nonce, this->hooks->clusterSecret)});
    // Other threads add to `unsent` until the link is ready, so that the hello stays the first.
    while (!bytes.empty()) {
        auto open = StreamConnection::Pointer();
        {
            const RankedLock lock(this->mutex);
            if (this->phase != Phase::Connecting && this->phase != Phase::Flushing)
                return;
            open = this->stream;
        }
        open->send(std::move(bytes));
        const RankedLock lock(this->mutex);
        bytes = std::exchange(this->unsent, std::string());
        if (this->phase != Phase::Ended)
            this->phase = bytes.empty() ? Phase::Ready : Phase::Flushing;
    }
}

auto RelayLink::complete(RelayResponse response) -> void
{
    auto exchange = Exchange();
    {
        const RankedLock lock(this->mutex);
        auto row = this->exchanges.extract(response.channel);
        if (row.empty())
            return; // The origin has given up on it.
        exchange = std::move(row.mapped());
    }
    this->hooks->executor.cancel(exchange.timer);
    if (concernsHolder(response.refusal))
        this->hooks->peerRefused(this->peer.instance, response.refusal);
    this->hooks->loadReported(exchange.endpoint, response.load, exchange.sentAt);
    response.outcome.sentAt = exchange.sentAt;
    response.outcome.concernsServer = response.refusal == RelayRefusal::None;
    exchange.done(std::move(response.outcome));
}

auto RelayLink::complete(const RelayStatusResponse &response) -> void
{
    auto call = StatusCall();
    {
        const RankedLock lock(this->mutex);
        auto row = this->statusCalls.extract(response.number);
        if (row.empty())
            return;
        call = std::move(row.mapped());
    }
    this->hooks->executor.cancel(call.timer);
    call.done(response, call.sentAt);
}

auto RelayLink::expire(std::uint64_t channel, TimePoint sentAt) -> void
{
    auto done = PooledConnection::Done();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->exchanges.find(channel);
        // A timer that was already running must not end the channel's next request.
        if (found == this->exchanges.end() || found->second.sentAt != sentAt)
            return;
        done = std::move(found->second.done);
        this->exchanges.erase(found);
    }
    // The peer, or the server behind it, took too long: neither is known to have failed.
    done(ServerOutcome{.phase = ServerPhase::TimedOut,
                       .response = {},
                       .sentAt = sentAt,
                       .error = "no answer in time through " + this->peer.instance,
                       .concernsServer = false});
}

auto RelayLink::expireStatus(std::uint64_t number) -> void
{
    auto call = StatusCall();
    {
        const RankedLock lock(this->mutex);
        auto row = this->statusCalls.extract(number);
        if (row.empty())
            return;
        call = std::move(row.mapped());
    }
    call.done(std::nullopt, call.sentAt);
}

} // namespace auburnrail::detail
