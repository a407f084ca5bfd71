#ifndef AUBURNRAIL_PROXY_PLACEMENT_H
#define AUBURNRAIL_PROXY_PLACEMENT_H

#include <core/Position.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnrail {

/// The server that gets a statement.
struct Placement
{
    std::string endpoint;
    bool isPrimary = false;
    std::uint64_t term = 0; ///< Of the group.
    /// Position that a replica must hold for the read; nothing at the primary.
    std::optional<Position> minimumPosition;
};

} // namespace auburnrail

#endif
