#ifndef AUBURNRAIL_PROXY_FLEETSIZE_H
#define AUBURNRAIL_PROXY_FLEETSIZE_H

#include <cstddef>

namespace auburnrail {

/// Numbers of entries that hold a lease.
struct FleetSize
{
    std::size_t entries = 1;
    std::size_t zoneEntries = 1; ///< Entries in the zone of this one, itself included.

    auto operator==(const FleetSize &) const -> bool = default;
};

} // namespace auburnrail

#endif
