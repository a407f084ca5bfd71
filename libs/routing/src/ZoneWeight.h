#ifndef AUBURNRAIL_ROUTING_ZONEWEIGHT_H
#define AUBURNRAIL_ROUTING_ZONEWEIGHT_H

#include <routing/EndpointView.h>

#include <cstdint>
#include <string_view>

namespace auburnrail::detail {

/// Weight of an endpoint in the entry's own zone, relative to 1 for other zones. Traffic between
/// zones takes 3 to 4 ms longer one way and is costly.
inline constexpr auto OWN_ZONE_WEIGHT = std::uint64_t{4};

[[nodiscard]] inline auto zoneWeight(const EndpointView &endpoint, std::string_view zone)
    -> std::uint64_t
{
    return endpoint.zone == zone ? OWN_ZONE_WEIGHT : 1;
}

} // namespace auburnrail::detail

#endif
