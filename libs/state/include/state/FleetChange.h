#ifndef AUBURNRAIL_STATE_FLEETCHANGE_H
#define AUBURNRAIL_STATE_FLEETCHANGE_H

#include <state/FleetObject.h>

#include <core/Revision.h>

#include <optional>
#include <string>

namespace auburnrail {

/// One object after its change, or its removal.
struct FleetChange
{
    Revision revision = 0;
    ObjectKind kind = ObjectKind::Service;
    std::string name;
    std::optional<FleetObject> object; ///< Nothing: the object was deleted.

    auto operator==(const FleetChange &) const -> bool = default;
};

} // namespace auburnrail

#endif
