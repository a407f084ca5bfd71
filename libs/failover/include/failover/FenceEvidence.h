#ifndef AUBURNRAIL_FAILOVER_FENCEEVIDENCE_H
#define AUBURNRAIL_FAILOVER_FENCEEVIDENCE_H

#include <core/Position.h>
#include <core/Time.h>

#include <string>

namespace auburnrail {

/// What a fenced endpoint said of itself.
struct FenceEvidence
{
    std::string endpoint;
    Position position;
    bool wasPrimary = false;
    bool rebuilding = false;
    TimePoint receivedAt; ///< When control received the response.
};

} // namespace auburnrail

#endif
