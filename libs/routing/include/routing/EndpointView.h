#ifndef AUBURNRAIL_ROUTING_ENDPOINTVIEW_H
#define AUBURNRAIL_ROUTING_ENDPOINTVIEW_H

#include <routing/BreakerState.h>

#include <core/Position.h>
#include <core/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnrail {

/// Snapshot of the state of one endpoint in an EndpointTable.
struct EndpointView
{
    std::string name;
    std::string group;
    std::string zone;
    std::string address;
    std::uint64_t term = 0; ///< Highest term in the fleet state or reported by the endpoint.
    bool primary = false;   ///< According to the fleet state.
    bool leaving = false;
    /// Since when its zone is known to be evacuated.
    std::optional<TimePoint> evacuatedAt;
    Position position;
    std::optional<TimePoint> observedAt; ///< When it was asked for `position`.
    std::optional<TimePoint> lastSeen;
    std::optional<TimePoint> dataTime; ///< Its data is at least as recent as this.
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    Duration responseTime{}; ///< Moving average; 0 before the first response.
    Duration responseAge{};  ///< Since the request was sent whose response came last.
    BreakerState breaker = BreakerState::Closed;
    double slowStartFraction = 1.0;
};

} // namespace auburnrail

#endif
