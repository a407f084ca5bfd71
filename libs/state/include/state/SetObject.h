#ifndef AUBURNRAIL_STATE_SETOBJECT_H
#define AUBURNRAIL_STATE_SETOBJECT_H

#include <state/FleetObject.h>

namespace auburnrail {

/// Creates an object, or changes its settings. Labels are added to those it has. Group: term, phase
/// and primary stay. Endpoint: registers it. Key: creates it; keys are never changed.
struct SetObject
{
    FleetObject object;

    auto operator==(const SetObject &) const -> bool = default;
};

} // namespace auburnrail

#endif
