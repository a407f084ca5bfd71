#ifndef AUBURNRAIL_PROXY_SERVERCONNECTIONEVENT_H
#define AUBURNRAIL_PROXY_SERVERCONNECTIONEVENT_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What happened to connections to servers, for metrics and logs.
enum class ServerConnectionEvent : std::uint8_t {
    Opened,
    Full,        ///< The server has reached its connection limit.
    Failed,      ///< The server did not respond or refused for another reason.
    Probe,       ///< A status request was sent without a statement of a caller.
    Busy,        ///< The server refused a request because it had no capacity.
    Unused,      ///< A connection was closed without a request having been sent on it.
    Relayed,     ///< A statement or transaction was passed to another entry.
    RelayFailed, ///< Another entry did not respond, or refused before it reached the server.
};

template <>
inline constexpr auto
    ENUM_NAMES<ServerConnectionEvent> = std::to_array<EnumName<ServerConnectionEvent>>({
        {ServerConnectionEvent::Opened, "opened"},
        {ServerConnectionEvent::Full, "full"},
        {ServerConnectionEvent::Failed, "failed"},
        {ServerConnectionEvent::Probe, "probe"},
        {ServerConnectionEvent::Busy, "busy"},
        {ServerConnectionEvent::Unused, "unused"},
        {ServerConnectionEvent::Relayed, "relayed"},
        {ServerConnectionEvent::RelayFailed, "relay-failed"},
    });

} // namespace auburnrail

#endif
