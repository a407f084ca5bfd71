#ifndef AUBURNRAIL_WIRE_DETAIL_FRAMESERVER_H
#define AUBURNRAIL_WIRE_DETAIL_FRAMESERVER_H

#include <net/IoPool.h>
#include <net/StreamListener.h>

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace auburnrail::detail {

/// Sends the response to one request; once at most, on any thread. Without effect when the
/// connection has ended.
using FrameReply = std::function<auto(std::string_view response)->void>;

/// Takes one request. May keep `reply` and return before it is called. An exception ends the
/// connection and is logged.
using FrameHandler = std::function<auto(std::string request, FrameReply reply)->void>;

/// Server for Thrift's framed transport: each message follows its length as 4 bytes, big endian.
/// Its threads handle whatever arrives; a connection without a request that is being handled has
/// none. Safe from any thread.
class FrameServer
{
public:
    /// Longest message, as in Thrift.
    static constexpr auto MAX_FRAME_BYTES = std::size_t(16384000);

    /// `name` stands in the log lines of this server.
    FrameServer(std::string name, std::string address, std::size_t threads, FrameHandler handler);
    FrameServer(const FrameServer &) = delete;
    auto operator=(const FrameServer &) -> FrameServer & = delete;

    /// `kUnavailable` when the address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Ends all connections. Not to be called by the handler.
    auto stop() -> void;

    /// Port in use after start().
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    auto accept(const StreamConnection::Pointer &connection) -> void;

    /// Handles the whole frames in `bytes` and returns their length.
    auto takeFrames(const StreamConnection::Pointer &connection, std::string_view bytes)
        -> std::size_t;
    auto handle(const StreamConnection::Pointer &connection, std::string request) -> void;

    const std::string name;
    const FrameHandler handler;
    IoPool pool;
    StreamListener listener;
};

} // namespace auburnrail::detail

#endif
