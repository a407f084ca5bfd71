#ifndef AUBURNRAIL_PROXY_PLACEMENT_H
#define AUBURNRAIL_PROXY_PLACEMENT_H

#include <core/Position.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnrail {

/// The server chosen for a statement.
struct Placement
{
    std::string endpoint;
    bool isPrimary = false;
    std::uint64_t term = 0; ///< Term of the group.
    /// Position that a replica must have reached for the read; std::nullopt for the primary.
    std::optional<Position> minimumPosition;
};

} // namespace auburnrail

#endif
