#ifndef AUBURNRAIL_STATE_SERVICE_H
#define AUBURNRAIL_STATE_SERVICE_H

#include <core/Labels.h>
#include <core/Revision.h>

#include <string>

namespace auburnrail {

/// What callers address: a name in front of one group.
struct Service
{
    std::string name;
    std::string group;
    Labels labels;
    Revision changedAt = 0; ///< Revision of the last change of this object.

    auto operator==(const Service &) const -> bool = default;
};

} // namespace auburnrail

#endif
