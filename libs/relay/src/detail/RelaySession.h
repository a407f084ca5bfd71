#ifndef AUBURNRAIL_RELAY_DETAIL_RELAYSESSION_H
#define AUBURNRAIL_RELAY_DETAIL_RELAYSESSION_H

#include "HeldChannel.h"

#include <relay/RelayServer.h>

#include <net/StreamConnection.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace auburnrail::detail {

/// The link of a holder to one origin. Everything runs on the executor of its stream.
class RelaySession : public std::enable_shared_from_this<RelaySession>
{
public:
    RelaySession(StreamConnection::Pointer sessionStream,
                 std::shared_ptr<RelayServer::Shared> serverShared);

    /// Begins to read and sends the challenge.
    auto start() -> void;

private:
    using ChannelPointer = std::shared_ptr<HeldChannel>;

    auto received(std::string_view bytes) -> std::size_t;
    auto take(RelayMessage message) -> void;
    auto authenticate(const RelayHello &hello) -> void;
    auto takeRequest(RelayRequest request) -> void;
    auto takeEnd(const RelayEnd &end) -> void;
    auto takeStatusRequest(const RelayStatusRequest &request) -> void;

    /// The channel of the request, opened if it is its first one; null after a refusal.
    [[nodiscard]] auto channelOf(const RelayRequest &request) -> ChannelPointer;

    auto lease(const ChannelPointer &channel) -> void;
    auto leased(const ChannelPointer &channel, absl::StatusOr<PooledConnectionPointer> result)
        -> void;
    auto prepareNext(const ChannelPointer &channel) -> void;
    auto run(const ChannelPointer &channel) -> void;
    auto exchange(const ChannelPointer &channel, const ServerRequest &request,
                  std::function<auto(RelaySession &session, ServerOutcome outcome)->void> next)
        -> void;

    /// Answers the request in progress without having sent it to the server.
    auto refuse(const ChannelPointer &channel, RelayRefusal refusal, std::string reason) -> void;
    auto refuseUnopened(const RelayRequest &request, RelayRefusal refusal) -> void;
    auto respond(const ChannelPointer &channel, ServerOutcome outcome) -> void;

    auto endRequest(const ChannelPointer &channel) -> void;

    /// Returns the connection and forgets the channel.
    auto close(const ChannelPointer &channel, bool reusable) -> void;
    auto closeAll() -> void;
    auto reject(const std::string &reason) -> void;

    [[nodiscard]] auto now() const -> TimePoint;
    auto send(const RelayMessage &message) -> void;

    const StreamConnection::Pointer stream;
    const std::shared_ptr<RelayServer::Shared> shared;
    const std::string nonce;
    bool authenticated = false;
    bool closed = false;
    std::map<std::uint64_t, ChannelPointer> channels;
};

} // namespace auburnrail::detail

#endif
