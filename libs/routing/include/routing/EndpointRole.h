#ifndef AUBURNRAIL_ROUTING_ENDPOINTROLE_H
#define AUBURNRAIL_ROUTING_ENDPOINTROLE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Role that an endpoint must have in its group.
enum class EndpointRole : std::uint8_t {
    Any,
    Primary,
    Replica,
};

template <>
inline constexpr auto ENUM_NAMES<EndpointRole> = std::to_array<EnumName<EndpointRole>>({
    {EndpointRole::Any, "any"},
    {EndpointRole::Primary, "primary"},
    {EndpointRole::Replica, "replica"},
});

} // namespace auburnrail

#endif
