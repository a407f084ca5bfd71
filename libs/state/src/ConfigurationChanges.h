#ifndef AUBURNRAIL_STATE_CONFIGURATIONCHANGES_H
#define AUBURNRAIL_STATE_CONFIGURATIONCHANGES_H

#include <state/CheckConfiguration.h>
#include <state/FleetChange.h>
#include <state/FleetObjects.h>

#include <vector>

namespace auburnrail::detail {

/// What has to change so that exactly `wanted` are the objects that a document defines. Objects
/// that stay as they are cause no change, so that a new document costs its differences only.
/// Labels that operators added to an object stay.
[[nodiscard]] auto configurationChanges(const FleetObjects &current,
                                        const std::vector<FleetObject> &wanted)
    -> std::vector<FleetChange>;

} // namespace auburnrail::detail

#endif
