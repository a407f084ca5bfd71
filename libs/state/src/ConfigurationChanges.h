#ifndef AUBURNRAIL_STATE_CONFIGURATIONCHANGES_H
#define AUBURNRAIL_STATE_CONFIGURATIONCHANGES_H

#include <state/CheckConfiguration.h>
#include <state/FleetChange.h>
#include <state/FleetObjects.h>

#include <vector>

namespace auburnrail::detail {

/// The changes after which exactly the objects in `wanted` are defined by a document. Unchanged
/// objects cause no change, so that the cost of a new document depends on its differences only.
/// Labels that operators added to an object stay.
[[nodiscard]] auto configurationChanges(const FleetObjects &current,
                                        const std::vector<FleetObject> &wanted)
    -> std::vector<FleetChange>;

} // namespace auburnrail::detail

#endif
