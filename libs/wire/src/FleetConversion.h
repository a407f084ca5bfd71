#ifndef AUBURNRAIL_WIRE_FLEETCONVERSION_H
#define AUBURNRAIL_WIRE_FLEETCONVERSION_H

#include <state/FleetChange.h>
#include <state/FleetObject.h>

#include <Fleet_types.h>

namespace auburnrail::detail {

// Domain types to and from generated ones. fromWire() throws DecodeFault.

[[nodiscard]] auto toWire(const FleetObject &object) -> wire::FleetObject;
[[nodiscard]] auto fromWire(wire::FleetObject &&object) -> FleetObject;

[[nodiscard]] auto toWire(const ConfigurationDocument &document) -> wire::ConfigurationDocument;
[[nodiscard]] auto fromWire(wire::ConfigurationDocument &&document) -> ConfigurationDocument;

[[nodiscard]] auto toWire(const FleetChange &change) -> wire::FleetChange;
[[nodiscard]] auto fromWire(wire::FleetChange &&change) -> FleetChange;

} // namespace auburnrail::detail

#endif
