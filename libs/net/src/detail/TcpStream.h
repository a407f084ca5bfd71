#ifndef AUBURNRAIL_NET_DETAIL_TCPSTREAM_H
#define AUBURNRAIL_NET_DETAIL_TCPSTREAM_H

#include "OpenStreams.h"

#include <net/StreamConnection.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <deque>

namespace auburnrail::detail {

/// StreamConnection over a socket. The socket's executor is the strand on which everything runs.
class TcpStream : public StreamConnection, public std::enable_shared_from_this<TcpStream>
{
public:
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
    using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;

    TcpStream(Socket connectedSocket, const Executor &poolExecutor,
              std::shared_ptr<OpenStreams> openStreams, const StreamLimits &streamLimits);

    auto start(StreamHooks streamHooks) -> void override;
    auto send(std::string bytes) -> void override;
    auto close() -> void override;
    auto closeAfterSending() -> void override;
    [[nodiscard]] auto executor() -> const Executor & override;

private:
    auto read() -> void;
    auto takeInput(std::size_t count) -> void;
    auto write() -> void;
    auto end() -> void;

    Socket socket;
    const std::shared_ptr<OpenStreams> streams;
    const StreamLimits limits;
    Executor serial;
    StreamHooks hooks;
    std::string input;
    std::size_t inputUsed = 0; ///< Bytes of `input` that hold data.
    std::string writing;       ///< Handed to the system now.
    std::string output;        ///< To be written next.
    bool ended = false;
    bool endsWhenWritten = false;
    bool reading = false;
};

/// Turns Nagle's algorithm off and bounds the silence of the peer. Errors are ignored: the
/// connection works without these options, and a socket that is gone is noticed by its first use.
auto applySocketOptions(TcpStream::Socket &socket, const StreamLimits &limits) -> void;

} // namespace auburnrail::detail

#endif
