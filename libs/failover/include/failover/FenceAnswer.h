#ifndef AUBURNRAIL_FAILOVER_FENCEANSWER_H
#define AUBURNRAIL_FAILOVER_FENCEANSWER_H

#include <core/Position.h>

#include <cstdint>

namespace auburnrail {

/// Answer of an endpoint to a fence.
struct FenceAnswer
{
    bool accepted = false;         ///< False: it knows a higher term, or is primary in this one.
    Position position;             ///< Last entry of its log.
    std::uint64_t highestTerm = 0; ///< Highest term that it knows.
    bool wasPrimary = false;
    /// It lost its data and has not caught up since. It does not count towards the majority,
    /// because it may have held writes that were acknowledged.
    bool rebuilding = false;
};

} // namespace auburnrail

#endif
