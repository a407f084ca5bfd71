#ifndef AUBURNRAIL_STATE_SERVICE_H
#define AUBURNRAIL_STATE_SERVICE_H

#include <core/Labels.h>
#include <core/Revision.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// The name by which callers address one group.
struct Service
{
    std::string name;
    std::string group;
    /// Connections that each endpoint of the group accepts from the whole fleet; 0: not stated.
    std::uint32_t connectionLimit = 0;
    /// Number of replicas that must have a write before the primary acknowledges it.
    std::uint32_t synchronousReplicas = 0;
    Labels labels;
    Revision changedAt = 0; ///< Revision of the last change of this object.

    auto operator==(const Service &) const -> bool = default;
};

} // namespace auburnrail

#endif
