#ifndef AUBURNRAIL_PROXY_DETAIL_SERVERSOCKET_H
#define AUBURNRAIL_PROXY_DETAIL_SERVERSOCKET_H

#include <proxy/ServerCodec.h>
#include <proxy/ServerLink.h>

#include <net/StreamConnection.h>

#include <functional>
#include <memory>
#include <string>

namespace auburnrail::detail {

/// One connection to a server: a request, its whole answer, then the next request. Everything runs
/// on the connection's executor.
class ServerSocket : public std::enable_shared_from_this<ServerSocket>
{
public:
    /// `idleEnded` is called once when the connection ends while no request is under way.
    ServerSocket(StreamConnection::Pointer openStream, ServerCodec serverCodec,
                 std::function<auto()->void> idleEndedHook);

    /// Begins to read, and sends the first message. `done` gets its answer.
    auto start(const ServerOpening &message, Duration timeLimit, ServerLink::Done newDone) -> void;

    auto exchange(const ServerRequest &request, Duration timeLimit, ServerLink::Done newDone)
        -> void;

    auto close() -> void;

private:
    auto send(std::string bytes, Duration timeLimit, ServerLink::Done newDone) -> void;
    auto received(std::string_view bytes) -> std::size_t;
    auto ended() -> void;
    auto finish(ServerPhase phase, std::string error) -> void;

    const StreamConnection::Pointer stream;
    const ServerCodec codec;
    std::function<auto()->void> idleEnded;
    ServerLink::Done done; ///< Set while a request is under way.
    StatementAnswer answer;
    TimePoint sentAt;
    TimerId timer = 0;
    bool opening = true; ///< No request has followed the first message.
    bool closed = false;
};

} // namespace auburnrail::detail

#endif
