#ifndef AUBURNRAIL_ROUTING_ENDPOINTOBSERVATION_H
#define AUBURNRAIL_ROUTING_ENDPOINTOBSERVATION_H

#include <core/Position.h>
#include <core/Time.h>

#include <cstdint>

namespace auburnrail {

/// What one answer of an endpoint, to a probe or to a request, says of the endpoint.
struct EndpointObservation
{
    Position position; ///< Last position known to be applied.
    std::uint64_t term = 0;
    bool primary = false;
    bool leaving = false;
    Duration dataAge{};       ///< Age of the data, as the endpoint states it.
    TimePoint sentAt;         ///< When the probe or request was sent.
    Duration responseTime{};  ///< From then to the answer.
    bool measuresTime = true; ///< False for Await, whose time says nothing of the load.
};

} // namespace auburnrail

#endif
