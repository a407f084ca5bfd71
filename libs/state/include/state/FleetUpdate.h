#ifndef AUBURNRAIL_STATE_FLEETUPDATE_H
#define AUBURNRAIL_STATE_FLEETUPDATE_H

#include <state/FleetChange.h>

#include <core/Revision.h>

#include <vector>

namespace auburnrail {

/// The changes that bring a copy at `baseRevision` or later to `revision`.
struct FleetUpdate
{
    Revision baseRevision = 0;
    Revision revision = 0;            ///< At least the revision of every change.
    std::vector<FleetChange> changes; ///< Oldest first.

    auto operator==(const FleetUpdate &) const -> bool = default;
};

} // namespace auburnrail

#endif
