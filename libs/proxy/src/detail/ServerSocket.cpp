#include "ServerSocket.h"

#include <cassert>
#include <utility>

namespace auburnrail::detail {

ServerSocket::ServerSocket(StreamConnection::Pointer openStream, ServerCodec serverCodec,
                           std::function<auto()->void> idleEndedHook)
    : stream(std::move(openStream))
    , codec(std::move(serverCodec))
    , idleEnded(std::move(idleEndedHook))
{
}

auto ServerSocket::start(const ServerOpening &message, Duration timeLimit, ServerLink::Done newDone)
    -> void
{
    this->stream->start(StreamHooks{
        .received = [self = this->shared_from_this()](auto bytes) { return self->received(bytes); },
        .closed =
            [self = this->shared_from_this()] {
                self->ended();
            }});
    this->stream->executor().post([self = this->shared_from_this(), message, timeLimit,
                                   newDone = std::move(newDone)]() mutable {
        self->send(self->codec.encodeOpening(message), timeLimit, std::move(newDone));
    });
}

auto ServerSocket::exchange(const ServerRequest &request, Duration timeLimit,
                            ServerLink::Done newDone) -> void
{
    this->stream->executor().post([self = this->shared_from_this(), request, timeLimit,
                                   newDone = std::move(newDone)]() mutable {
        self->opening = false;
        self->send(self->codec.encodeRequest(request), timeLimit, std::move(newDone));
    });
}

auto ServerSocket::close() -> void
{
    this->stream->close();
}

auto ServerSocket::send(std::string bytes, Duration timeLimit, ServerLink::Done newDone) -> void
{
    assert(!this->done && "one request at a time");
    const auto now = this->stream->executor().now();
    if (this->closed) {
        newDone(ServerOutcome{.phase = ServerPhase::NotSent,
                              .answer = {},
                              .sentAt = now,
                              .error = "the connection had ended"});
        return;
    }
    this->done = std::move(newDone);
    this->answer = StatementAnswer();
    this->sentAt = now;
    this->timer = this->stream->executor().postAfter(
        timeLimit, [weak = this->weak_from_this(), sentAt = now] {
            const auto self = weak.lock();
            // A timer that came due while the answer arrived must not end the next request.
            if (self != nullptr && self->done && self->sentAt == sentAt)
                self->finish(ServerPhase::TimedOut, "no answer in time");
        });
    this->stream->send(std::move(bytes));
}

auto ServerSocket::received(std::string_view bytes) -> std::size_t
{
    auto consumed = std::size_t(0);
    while (!this->closed) {
        const auto rest = bytes.substr(consumed);
        if (rest.empty())
            return consumed;
        // An answer to nothing could be taken for that to the next request.
        if (!this->done) {
            this->stream->close();
            return bytes.size();
        }
        const auto input = this->codec.decode(rest, this->answer);
        consumed += input.bytes;
        if (!input.fault.empty()) {
            this->finish(ServerPhase::Lost, input.fault);
            return bytes.size();
        }
        if (!input.ended)
            return consumed;
        this->finish(ServerPhase::Answered, "");
    }
    return bytes.size();
}

auto ServerSocket::ended() -> void
{
    this->closed = true;
    // A server refuses a session by an error and the end of the connection.
    if (this->done && this->opening && this->answer.failure)
        this->finish(ServerPhase::Answered, "");
    else if (this->done)
        this->finish(ServerPhase::Lost, "the connection ended");
    else if (this->idleEnded)
        this->idleEnded();
    this->idleEnded = nullptr;
}

auto ServerSocket::finish(ServerPhase phase, std::string error) -> void
{
    this->stream->executor().cancel(std::exchange(this->timer, 0));
    auto outcome = ServerOutcome{.phase = phase,
                                 .answer = std::exchange(this->answer, StatementAnswer()),
                                 .sentAt = this->sentAt,
                                 .error = std::move(error)};
    const auto finished = std::exchange(this->done, nullptr);
    if (phase != ServerPhase::Answered) {
        this->closed = true;
        this->idleEnded = nullptr;
        this->stream->close();
    }
    finished(std::move(outcome));
}

} // namespace auburnrail::detail
