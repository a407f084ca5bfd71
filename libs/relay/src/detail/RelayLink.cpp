// Requests of the origin and the life of the link. What comes from the peer is in
// RelayLinkInput.cpp.
#include <relay/detail/RelayLink.h>

#include <relay/RelayTiming.h>

#include <core/RankedLock.h>

#include <utility>

namespace auburnrail::detail {

namespace {

auto notSent(std::string error, TimePoint now) -> ServerOutcome
{
    return ServerOutcome{.phase = ServerPhase::NotSent,
                         .response = {},
                         .sentAt = now,
                         .error = std::move(error),
                         .concernsServer = false};
}

} // namespace

RelayLink::RelayLink(RelayPeer linkedPeer, std::shared_ptr<const RelayLinksHooks> linkHooks)
    : peer(std::move(linkedPeer))
    , hooks(std::move(linkHooks))
    , aliveAt(hooks->executor.now())
    , usedAt(aliveAt)
{
}

auto RelayLink::now() const -> TimePoint
{
    return this->hooks->executor.now();
}

auto RelayLink::open(IoPool &ioPool) -> void
{
    connectStream(
        ioPool, this->peer.address, RELAY_OPEN_TIME_LIMIT_MS,
        StreamLimits{.maxInputBytes = RELAY_MAX_OUTPUT_BYTES,
                     .maxOutputBytes = RELAY_MAX_OUTPUT_BYTES},
        [self = this->shared_from_this()](absl::StatusOr<StreamConnection::Pointer> result) {
            if (result.ok())
                self->connected(*result);
            else
                self->end(std::string(result.status().message()));
        });
}

auto RelayLink::connected(const StreamConnection::Pointer &newStream) -> void
{
    {
        const RankedLock lock(this->mutex);
        if (this->phase == Phase::Connecting)
            this->stream = newStream;
    }
    if (this->hasEnded()) {
        newStream->close();
        return;
    }
    newStream->start(StreamHooks{
        .received = [self = this->shared_from_this()](auto bytes) { return self->received(bytes); },
        .closed =
            [self = this->shared_from_this()] {
                self->end("the link was closed");
            }});
}

auto RelayLink::nextNumber() -> std::uint64_t
{
    const RankedLock lock(this->mutex);
    return ++this->lastNumber;
}

auto RelayLink::enqueue(const RelayMessage &message) -> std::optional<Outgoing>
{
    const auto isFull = this->unsent.size() > RELAY_MAX_UNSENT_BYTES;
    if (this->phase == Phase::Ended || isFull)
        return std::nullopt;
    auto outgoing = Outgoing{.stream = this->phase == Phase::Ready ? this->stream : nullptr,
                             .bytes = this->hooks->codec.encode(message)};
    if (outgoing.stream == nullptr)
        this->unsent += outgoing.bytes;
    this->usedAt = this->now();
    const auto owesNothing = this->exchanges.empty() && this->statusCalls.empty();
    if (owesNothing) {
        this->aliveAt = this->usedAt;
        this->pinged = false;
    }
    return outgoing;
}

auto RelayLink::transmit(Outgoing outgoing) -> void
{
    if (outgoing.stream != nullptr)
        outgoing.stream->send(std::move(outgoing.bytes));
}

auto RelayLink::exchange(const RelayRequest &request, const std::string &endpoint,
                         PooledConnection::Done done) -> void
{
    const auto sentAt = this->now();
    auto outgoing = std::optional<Outgoing>();
    auto refused = PooledConnection::Done();
    {
        const RankedLock lock(this->mutex);
        outgoing = this->enqueue(request);
        if (outgoing) {
            const auto timer = this->hooks->executor.postAfter(
                request.timeLimit,
                [weak = this->weak_from_this(), channel = request.channel, sentAt] {
                    if (const auto self = weak.lock(); self != nullptr)
                        self->expire(channel, sentAt);
                });
            this->exchanges.insert_or_assign(request.channel,
                                             Exchange{endpoint, sentAt, timer, std::move(done)});
        } else {
            refused = std::move(done);
        }
    }
    if (outgoing)
        transmit(*std::move(outgoing));
    else
        refused(notSent("the link to " + this->peer.instance + " takes no more", sentAt));
}

auto RelayLink::requestStatus(const std::string &endpoint, Duration timeLimit, StatusDone done)
    -> void
{
    const auto sentAt = this->now();
    const auto number = this->nextNumber();
    auto outgoing = std::optional<Outgoing>();
    auto refused = StatusDone();
    {
        const RankedLock lock(this->mutex);
        outgoing = this->enqueue(RelayStatusRequest{.number = number, .endpoint = endpoint});
        if (outgoing) {
            const auto timer =
                this->hooks->executor.postAfter(timeLimit, [weak = this->weak_from_this(), number] {
                    if (const auto self = weak.lock(); self != nullptr)
                        self->expireStatus(number);
                });
            this->statusCalls.emplace(number, StatusCall{sentAt, timer, std::move(done)});
        } else {
            refused = std::move(done);
        }
    }
    if (outgoing)
        transmit(*std::move(outgoing));
    else
        refused(std::nullopt, sentAt);
}

auto RelayLink::send(const RelayMessage &message) -> void
{
    auto outgoing = std::optional<Outgoing>();
    {
        const RankedLock lock(this->mutex);
        outgoing = this->enqueue(message);
    }
    if (outgoing)
        transmit(*std::move(outgoing));
}

auto RelayLink::hasEnded() -> bool
{
    const RankedLock lock(this->mutex);
    return this->phase == Phase::Ended;
}

auto RelayLink::advance(TimePoint now) -> void
{
    auto reason = std::string();
    auto silent = StreamConnection::Pointer();
    {
        const RankedLock lock(this->mutex);
        if (this->phase == Phase::Ended)
            return;
        const auto owesNothing = this->exchanges.empty() && this->statusCalls.empty();
        const auto silentFor = now - this->aliveAt;
        if (owesNothing) {
            if (now - this->usedAt > RELAY_UNUSED_LIMIT_S)
                reason = "unused";
        } else if (silentFor > RELAY_SILENCE_LIMIT_MS) {
            reason = "the peer is silent";
        } else if (silentFor > RELAY_PING_AFTER_MS && !this->pinged
                   && this->phase == Phase::Ready) {
            this->pinged = true;
            silent = this->stream;
        }
    }
    if (silent != nullptr)
        silent->send(this->hooks->codec.encode(RelayPing()));
    if (!reason.empty())
        this->end(reason);
}

auto RelayLink::end(const std::string &reason) -> void
{
    auto mayHaveSent = false;
    auto endedExchanges = std::map<std::uint64_t, Exchange>();
    auto endedCalls = std::map<std::uint64_t, StatusCall>();
    auto open = StreamConnection::Pointer();
    {
        const RankedLock lock(this->mutex);
        if (this->phase == Phase::Ended)
            return;
        mayHaveSent = this->phase != Phase::Connecting;
        this->phase = Phase::Ended;
        this->unsent.clear();
        endedExchanges.swap(this->exchanges);
        endedCalls.swap(this->statusCalls);
        open = std::exchange(this->stream, nullptr);
    }
    if (open != nullptr)
        open->close();
    const auto error = "the link to " + this->peer.instance + " ended: " + reason;
    if (!mayHaveSent || !endedExchanges.empty() || !endedCalls.empty())
        this->hooks->peerFailed(this->peer.instance, reason);
    for (auto &[channel, exchange] : endedExchanges) {
        this->hooks->executor.cancel(exchange.timer);
        auto outcome = notSent(error, exchange.sentAt);
        // Without a challenge of the peer, requests have stayed in memory.
        if (mayHaveSent)
            outcome.phase = ServerPhase::Lost;
        exchange.done(std::move(outcome));
    }
    for (auto &[number, call] : endedCalls) {
        this->hooks->executor.cancel(call.timer);
        call.done(std::nullopt, call.sentAt);
    }
}

} // namespace auburnrail::detail
