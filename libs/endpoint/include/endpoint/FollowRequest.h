#ifndef AUBURNRAIL_ENDPOINT_FOLLOWREQUEST_H
#define AUBURNRAIL_ENDPOINT_FOLLOWREQUEST_H

#include <failover/GroupEndpoint.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// Makes an endpoint a replica that pulls the log from `primary`.
struct FollowRequest
{
    std::string exchangeId; ///< Must come back in the answer.
    std::uint64_t term = 0;
    GroupEndpoint primary;
};

} // namespace auburnrail

#endif
