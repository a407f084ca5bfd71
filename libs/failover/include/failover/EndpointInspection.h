#ifndef AUBURNRAIL_FAILOVER_ENDPOINTINSPECTION_H
#define AUBURNRAIL_FAILOVER_ENDPOINTINSPECTION_H

#include <core/Position.h>

namespace auburnrail {

/// What an endpoint says of itself when it is asked without being given an order.
struct EndpointInspection
{
    bool isPrimary = false;
    Position position; ///< Position of the last entry of its log.
};

} // namespace auburnrail

#endif
