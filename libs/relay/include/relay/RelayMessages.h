#ifndef AUBURNRAIL_RELAY_RELAYMESSAGES_H
#define AUBURNRAIL_RELAY_RELAYMESSAGES_H

#include <relay/RelayLoad.h>
#include <relay/RelayOpening.h>
#include <relay/RelayRefusal.h>

#include <proxy/PreparedStatement.h>
#include <proxy/ServerOutcome.h>
#include <proxy/ServerRequest.h>
#include <proxy/SessionValues.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace auburnrail {

/// First message of a holder on a link.
struct RelayChallenge
{
    std::string nonce;

    auto operator==(const RelayChallenge &) const -> bool = default;
};

/// First message of an origin. `proof` is the nonce's HMAC-SHA256 under the cluster secret.
struct RelayHello
{
    std::string instance;
    std::string proof;

    auto operator==(const RelayHello &) const -> bool = default;
};

/// A request on a channel. A channel has one at a time; the first one opens it.
struct RelayRequest
{
    std::uint64_t channel = 0;
    std::optional<RelayOpening> opening;
    /// Session values that the connection must have, if they changed since the last request.
    std::optional<SessionValues> values;
    std::optional<PreparedStatement> prepared; ///< Execute: the statement that is run.
    ServerRequest request;
    Duration timeLimit{}; ///< Until the response is of no use to the origin.
};

/// The end of a RelayRequest.
struct RelayResponse
{
    std::uint64_t channel = 0;
    RelayRefusal refusal = RelayRefusal::None; ///< Set when nothing was sent to the server.
    ServerOutcome outcome;                     ///< Its send time stays with the holder.
    RelayLoad load;
};

/// The origin needs the channel no more.
struct RelayEnd
{
    std::uint64_t channel = 0;
    bool reusable = false; ///< The connection may serve other sessions.

    auto operator==(const RelayEnd &) const -> bool = default;
};

/// Asks what a holder knows of a server, or can learn from it.
struct RelayStatusRequest
{
    std::uint64_t number = 0; ///< Echoed by the response.
    std::string endpoint;

    auto operator==(const RelayStatusRequest &) const -> bool = default;
};

struct RelayStatusResponse
{
    std::uint64_t number = 0;
    bool known = false; ///< The server responded to the holder within `age`.
    Position position;
    Duration age{}; ///< Since the request was sent to which the server responded.
    RelayLoad load;

    auto operator==(const RelayStatusResponse &) const -> bool = default;
};

struct RelayPing
{
    auto operator==(const RelayPing &) const -> bool = default;
};

struct RelayPong
{
    auto operator==(const RelayPong &) const -> bool = default;
};

using RelayMessage = std::variant<RelayChallenge, RelayHello, RelayRequest, RelayResponse, RelayEnd,
                                  RelayStatusRequest, RelayStatusResponse, RelayPing, RelayPong>;

} // namespace auburnrail

#endif
