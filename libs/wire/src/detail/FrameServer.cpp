#include "FrameServer.h"

#include <daemon/Logging.h>

#include <Poco/ByteOrder.h>

#include <cstring>
#include <utility>

namespace auburnrail::detail {

namespace {

using FrameLength = Poco::UInt32;

constexpr auto LIMITS =
    StreamLimits{.maxInputBytes = FrameServer::MAX_FRAME_BYTES + sizeof(FrameLength),
                 .maxOutputBytes = 4 * FrameServer::MAX_FRAME_BYTES};

auto lengthOfFirst(std::string_view bytes) -> std::size_t
{
    auto length = FrameLength(0);
    std::memcpy(&length, bytes.data(), sizeof(length));
    return Poco::ByteOrder::fromNetwork(length);
}

auto toFrame(std::string_view message) -> std::string
{
    const auto length = Poco::ByteOrder::toNetwork(static_cast<FrameLength>(message.size()));
    auto frame = std::string(sizeof(length), '\0');
    std::memcpy(frame.data(), &length, sizeof(length));
    return frame.append(message);
}

} // namespace

FrameServer::FrameServer(std::string serverName, std::string address, std::size_t threads,
                         FrameHandler frameHandler)
    : name(std::move(serverName))
    , handler(std::move(frameHandler))
    , pool(threads, refusalLogger(name, NO_ROOM_FOR_THREAD))
    , listener(
          pool, std::move(address), LIMITS,
          [this](const StreamConnection::Pointer &connection) { this->accept(connection); },
          refusalLogger(name, "can't accept a connection"))
{
}

auto FrameServer::start() -> absl::Status
{
    return this->listener.start();
}

auto FrameServer::stop() -> void
{
    this->listener.stop();
    this->pool.stop();
}

auto FrameServer::port() const -> std::uint16_t
{
    return this->listener.port();
}

auto FrameServer::accept(const StreamConnection::Pointer &connection) -> void
{
    // The connection keeps itself alive while it is open.
    const auto weak = std::weak_ptr<StreamConnection>(connection);
    connection->start(StreamHooks{.received = [this, weak](std::string_view bytes) -> std::size_t {
                                      const auto open = weak.lock();
                                      return open ? this->takeFrames(open, bytes) : bytes.size();
                                  },
                                  .closed = {}});
}

auto FrameServer::takeFrames(const StreamConnection::Pointer &connection, std::string_view bytes)
    -> std::size_t
{
    auto consumed = std::size_t(0);
    while (bytes.size() - consumed >= sizeof(FrameLength)) {
        const auto rest = bytes.substr(consumed);
        const auto length = lengthOfFirst(rest);
        if (length > MAX_FRAME_BYTES) {
            logLine(LogLevel::Warning, this->name, "message is too long; connection closed",
                    {{"bytes", std::to_string(length)}});
            connection->close();
            return bytes.size();
        }
        if (rest.size() - sizeof(FrameLength) < length)
            break;
        this->handle(connection, std::string(rest.substr(sizeof(FrameLength), length)));
        consumed += sizeof(FrameLength) + length;
    }
    return consumed;
}

auto FrameServer::handle(const StreamConnection::Pointer &connection, std::string request) -> void
{
    // A response may be held for longer than the connection lives.
    auto reply = [weak = std::weak_ptr<StreamConnection>(connection)](std::string_view response) {
        if (const auto open = weak.lock())
            open->send(toFrame(response));
    };
    try {
        this->handler(std::move(request), std::move(reply));
    } catch (const std::exception &error) {
        logLine(LogLevel::Error, this->name, "request failed; connection closed",
                {{"error", error.what()}});
        connection->close();
    }
}

} // namespace auburnrail::detail
