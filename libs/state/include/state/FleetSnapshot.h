#ifndef AUBURNRAIL_STATE_FLEETSNAPSHOT_H
#define AUBURNRAIL_STATE_FLEETSNAPSHOT_H

#include <state/FleetObject.h>
#include <state/RememberedCommand.h>

#include <core/Revision.h>

#include <vector>

namespace auburnrail {

/// The whole state at one revision, or the part of it that entries need.
struct FleetSnapshot
{
    Revision revision = 0;
    std::vector<FleetObject> objects;
    std::vector<RememberedCommand> commands; ///< Oldest first; empty for an entry.
    Revision forgottenRevision = 0;          ///< See CommandMemory.

    auto operator==(const FleetSnapshot &) const -> bool = default;
};

} // namespace auburnrail

#endif
