#ifndef AUBURNRAIL_OBSERVE_BURNOBJECTIVES_H
#define AUBURNRAIL_OBSERVE_BURNOBJECTIVES_H

#include <observe/BurnObjective.h>
#include <state/FleetObjects.h>

#include <memory>
#include <vector>

namespace auburnrail {

/// The objectives of the fleet state, each bound to the services that its selector matches. Entries
/// and control members must count by the same objectives, so both use this.
[[nodiscard]] auto burnObjectivesOf(const std::shared_ptr<const FleetObjects> &objects)
    -> std::vector<BurnObjective>;

} // namespace auburnrail

#endif
