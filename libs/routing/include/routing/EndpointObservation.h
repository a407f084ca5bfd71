#ifndef AUBURNRAIL_ROUTING_ENDPOINTOBSERVATION_H
#define AUBURNRAIL_ROUTING_ENDPOINTOBSERVATION_H

#include <core/Position.h>
#include <core/Time.h>

#include <cstdint>

namespace auburnrail {

/// What one response of an endpoint, to a probe or a request, reveals about its state.
struct EndpointObservation
{
    Position position; ///< Last position that it is known to have applied.
    std::uint64_t term = 0;
    bool primary = false;
    bool leaving = false;
    Duration dataAge{};       ///< Age of the data, as reported by the endpoint.
    TimePoint sentAt;         ///< When the probe or request was sent.
    Duration responseTime{};  ///< From `sentAt` to the response.
    bool measuresTime = true; ///< False for Await, whose duration does not depend on load.
};

} // namespace auburnrail

#endif
