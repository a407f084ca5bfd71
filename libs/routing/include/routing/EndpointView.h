#ifndef AUBURNRAIL_ROUTING_ENDPOINTVIEW_H
#define AUBURNRAIL_ROUTING_ENDPOINTVIEW_H

#include <routing/BreakerState.h>

#include <core/Position.h>
#include <core/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnrail {

/// Copy of what an EndpointTable knows of one endpoint.
struct EndpointView
{
    std::string name;
    std::string group;
    std::string zone;
    std::string address;
    std::uint64_t term = 0; ///< Highest term that state or the endpoint named.
    bool primary = false;   ///< By the fleet state.
    bool leaving = false;
    Position position;
    std::optional<TimePoint> lastSeen;
    std::optional<TimePoint> dataTime; ///< Its data is known to be at least this new.
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    Duration responseTime{}; ///< Smoothed; 0 before the first answer.
    BreakerState breaker = BreakerState::Closed;
    double slowStartShare = 1.0;
};

} // namespace auburnrail

#endif
