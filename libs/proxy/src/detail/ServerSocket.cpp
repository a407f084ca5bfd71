#include "ServerSocket.h"

#include <cassert>
#include <utility>

namespace auburnrail::detail {

ServerSocket::ServerSocket(StreamConnection::Pointer openStream, ServerCodec serverCodec,
                           std::function<auto()->void> idleClosedHook)
    : stream(std::move(openStream))
    , codec(std::move(serverCodec))
    , idleClosed(std::move(idleClosedHook))
{
}

auto ServerSocket::start(const ServerOpening &message, Duration timeLimit,
                         PooledConnection::Done newDone) -> void
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
                            PooledConnection::Done newDone) -> void
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

auto ServerSocket::send(std::string bytes, Duration timeLimit, PooledConnection::Done newDone)
    -> void
{
    assert(!this->done && "one request at a time");
    const auto now = this->stream->executor().now();
    if (this->closed) {
        newDone(ServerOutcome{.phase = ServerPhase::NotSent,
                              .response = {},
                              .sentAt = now,
                              .error = "the connection had ended"});
        return;
    }
    this->done = std::move(newDone);
    this->response = StatementResponse();
    this->sentAt = now;
    this->timer = this->stream->executor().postAfter(
        timeLimit, [weak = this->weak_from_this(), sentAt = now] {
            const auto self = weak.lock();
            // A timer that expired while the response arrived must not end the next request.
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
        // An unsolicited response could be mistaken for the response to the next request.
        if (!this->done) {
            this->stream->close();
            return bytes.size();
        }
        const auto input = this->codec.decode(rest, this->response);
        consumed += input.bytes;
        if (!input.error.empty()) {
            this->finish(ServerPhase::Lost, input.error);
            return bytes.size();
        }
        if (!input.ended)
            return consumed;
        const auto isWhole = this->opening || this->response.completed || this->response.failure;
        if (isWhole)
            this->finish(ServerPhase::Responded, "");
        else
            this->finish(ServerPhase::Lost, "an answer without its end");
    }
    return bytes.size();
}

auto ServerSocket::ended() -> void
{
    this->closed = true;
    // A server refuses a session with an error and closes the connection.
    if (this->done && this->opening && this->response.failure)
        this->finish(ServerPhase::Responded, "");
    else if (this->done)
        this->finish(ServerPhase::Lost, "the connection ended");
    else if (this->idleClosed)
        this->idleClosed();
    this->idleClosed = nullptr;
}

auto ServerSocket::finish(ServerPhase phase, std::string error) -> void
{
    this->stream->executor().cancel(std::exchange(this->timer, 0));
    auto outcome = ServerOutcome{.phase = phase,
                                 .response = std::exchange(this->response, StatementResponse()),
                                 .sentAt = this->sentAt,
                                 .error = std::move(error)};
    const auto finished = std::exchange(this->done, nullptr);
    if (phase != ServerPhase::Responded) {
        this->closed = true;
        this->idleClosed = nullptr;
        this->stream->close();
    }
    finished(std::move(outcome));
}

} // namespace auburnrail::detail
