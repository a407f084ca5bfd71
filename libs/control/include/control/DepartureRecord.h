#ifndef AUBURNRAIL_CONTROL_DEPARTURERECORD_H
#define AUBURNRAIL_CONTROL_DEPARTURERECORD_H

#include <control/DepartureOutcome.h>

#include <core/Position.h>
#include <core/Time.h>

#include <optional>
#include <string>

namespace auburnrail {

/// What is known of a departure once it may be acknowledged.
struct DepartureRecord
{
    std::string endpoint;
    std::string group;
    DepartureOutcome outcome = DepartureOutcome::HandedOver;
    Duration took{};                  ///< Since the first announcement of the departure.
    std::optional<Position> position; ///< Last known one of the endpoint.
    std::string mostAdvanced;         ///< Of the replicas that stay; empty if none answered.
    Position mostAdvancedPosition;
};

} // namespace auburnrail

#endif
