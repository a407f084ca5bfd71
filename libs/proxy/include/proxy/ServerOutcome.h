#ifndef AUBURNRAIL_PROXY_SERVEROUTCOME_H
#define AUBURNRAIL_PROXY_SERVEROUTCOME_H

#include <proxy/StatementAnswer.h>

#include <core/EnumTable.h>
#include <core/Time.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// How far a request to a server got.
enum class ServerPhase : std::uint8_t {
    Answered,
    NotSent, ///< The connection was gone before the request was handed to it.
    Lost,    ///< The connection ended before the whole answer came.
    TimedOut,
};

template <>
inline constexpr auto ENUM_NAMES<ServerPhase> = std::to_array<EnumName<ServerPhase>>({
    {ServerPhase::Answered, "answered"},
    {ServerPhase::NotSent, "not-sent"},
    {ServerPhase::Lost, "lost"},
    {ServerPhase::TimedOut, "timed-out"},
});

/// End of one request to a server.
struct ServerOutcome
{
    ServerPhase phase = ServerPhase::NotSent;
    StatementAnswer answer; ///< When phase is Answered.
    TimePoint sentAt;
    std::string error; ///< When phase is not Answered.
};

} // namespace auburnrail

#endif
