#ifndef AUBURNRAIL_PROXY_SERVEROUTCOME_H
#define AUBURNRAIL_PROXY_SERVEROUTCOME_H

#include <proxy/StatementResponse.h>

#include <core/EnumTable.h>
#include <core/Time.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// How a request to a server ended.
enum class ServerPhase : std::uint8_t {
    Responded,
    NotSent, ///< The connection was closed before the request was sent.
    Lost,    ///< The connection was closed before the complete response was received.
    TimedOut,
};

template <>
inline constexpr auto ENUM_NAMES<ServerPhase> = std::to_array<EnumName<ServerPhase>>({
    {ServerPhase::Responded, "answered"},
    {ServerPhase::NotSent, "not-sent"},
    {ServerPhase::Lost, "lost"},
    {ServerPhase::TimedOut, "timed-out"},
});

/// Outcome of one request to a server.
struct ServerOutcome
{
    ServerPhase phase = ServerPhase::NotSent;
    StatementResponse response; ///< Set when phase is Responded.
    TimePoint sentAt;
    std::string error; ///< Set when phase is not Responded.
    /// False when another entry failed or refused, which tells nothing about the server.
    bool concernsServer = true;
};

} // namespace auburnrail

#endif
