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
};

} // namespace auburnrail

#endif
