#ifndef AUBURNRAIL_ROUTING_ENDPOINTFAILURE_H
#define AUBURNRAIL_ROUTING_ENDPOINTFAILURE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// How an exchange with an endpoint failed.
enum class EndpointFailure : std::uint8_t {
    Unreachable, ///< No connection.
    Lost,        ///< The connection closed before a complete response.
    TimedOut,
    Overloaded, ///< It responded that it is busy; it is alive.
};

template <>
inline constexpr auto ENUM_NAMES<EndpointFailure> = std::to_array<EnumName<EndpointFailure>>({
    {EndpointFailure::Unreachable, "unreachable"},
    {EndpointFailure::Lost, "lost"},
    {EndpointFailure::TimedOut, "timed-out"},
    {EndpointFailure::Overloaded, "overloaded"},
});

} // namespace auburnrail

#endif
