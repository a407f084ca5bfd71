#ifndef AUBURNRAIL_STATE_ZONE_H
#define AUBURNRAIL_STATE_ZONE_H

#include <core/Labels.h>
#include <core/Revision.h>

#include <string>

namespace auburnrail {

/// An availability zone that operators have evacuated, or had evacuated earlier. Zones without an
/// object are in service.
struct Zone
{
    std::string name;
    bool evacuated = false; ///< Its endpoints get no new work.
    Labels labels;
    Revision changedAt = 0; ///< Revision of the last change of this object.

    auto operator==(const Zone &) const -> bool = default;
};

} // namespace auburnrail

#endif
