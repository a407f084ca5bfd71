#ifndef AUBURNRAIL_FAILOVER_FENCERESPONSE_H
#define AUBURNRAIL_FAILOVER_FENCERESPONSE_H

#include <core/Position.h>

#include <cstdint>

namespace auburnrail {

/// Response of an endpoint to a fence request.
struct FenceResponse
{
    bool accepted = false; ///< False if the endpoint knows a higher term or is primary of this one.
    Position position;     ///< Position of the last entry of the endpoint's log.
    std::uint64_t highestTerm = 0; ///< Highest term that the endpoint knows.
    bool wasPrimary = false;
    /// The endpoint lost its data and has not caught up since. It does not count towards the
    /// majority, because the lost data may include acknowledged writes.
    bool rebuilding = false;
    /// The endpoint's address answered as another endpoint: the process that was asked has ended.
    /// Not set when nothing answered. Then nothing else is.
    bool isGone = false;
};

} // namespace auburnrail

#endif
