#ifndef AUBURNRAIL_PROXY_DETAIL_SERVERSOCKET_H
#define AUBURNRAIL_PROXY_DETAIL_SERVERSOCKET_H

#include <proxy/PooledConnection.h>
#include <proxy/ServerCodec.h>

#include <net/StreamConnection.h>

#include <functional>
#include <memory>
#include <string>

namespace auburnrail::detail {

/// One connection to a server. Requests are sent one at a time: the next one follows the complete
/// response to the previous one. Everything runs on the connection's executor.
class ServerSocket : public std::enable_shared_from_this<ServerSocket>
{
public:
    /// `idleClosedHook` is called once when the connection is closed while no request is in
    /// progress.
    ServerSocket(StreamConnection::Pointer openStream, ServerCodec serverCodec,
                 std::function<auto()->void> idleClosedHook);

    /// Starts reading and sends the first message. `newDone` receives the outcome.
    auto start(const ServerOpening &message, Duration timeLimit, PooledConnection::Done newDone)
        -> void;

    auto exchange(const ServerRequest &request, Duration timeLimit, PooledConnection::Done newDone)
        -> void;

    auto close() -> void;

private:
    auto send(std::string bytes, Duration timeLimit, PooledConnection::Done newDone) -> void;
    auto received(std::string_view bytes) -> std::size_t;
    auto ended() -> void;
    auto finish(ServerPhase phase, std::string error) -> void;

    const StreamConnection::Pointer stream;
    const ServerCodec codec;
    std::function<auto()->void> idleClosed;
    PooledConnection::Done done; ///< Set while a request is in progress.
    StatementResponse response;
    TimePoint sentAt;
    TimerId timer = 0;
    bool opening = true; ///< No request has followed the first message yet.
    bool closed = false;
};

} // namespace auburnrail::detail

#endif
