#ifndef AUBURNRAIL_STATE_PROCESSCHANGES_H
#define AUBURNRAIL_STATE_PROCESSCHANGES_H

#include <state/FleetObjects.h>

#include <string>
#include <vector>

namespace auburnrail::detail {

/// The groups whose evidence changes when the endpoint `name` becomes `next`, or is deleted if that
/// is null: the process that was registered has ended for control, or one that had is back.
[[nodiscard]] auto groupsAfterProcessChange(const FleetObjects &objects, const std::string &name,
                                            const Endpoint *next) -> std::vector<Group>;

} // namespace auburnrail::detail

#endif
