#ifndef AUBURNRAIL_ENDPOINT_FOLLOWREQUEST_H
#define AUBURNRAIL_ENDPOINT_FOLLOWREQUEST_H

#include <failover/GroupEndpoint.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// Makes an endpoint a replica that pulls the replication log from `primary`.
struct FollowRequest
{
    std::string exchangeId; ///< The response must carry the same id.
    std::uint64_t term = 0;
    GroupEndpoint primary;
};

} // namespace auburnrail

#endif
