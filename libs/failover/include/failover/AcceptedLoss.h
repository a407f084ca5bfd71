#ifndef AUBURNRAIL_FAILOVER_ACCEPTEDLOSS_H
#define AUBURNRAIL_FAILOVER_ACCEPTEDLOSS_H

#include <core/Position.h>

#include <string>

namespace auburnrail {

/// An operator's decision to promote an endpoint although its log may lack acknowledged writes.
struct AcceptedLoss
{
    std::string endpoint;
    Position position; ///< At which it was fenced; what comes after may be lost.
};

} // namespace auburnrail

#endif
