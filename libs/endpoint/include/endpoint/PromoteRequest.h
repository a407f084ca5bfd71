#ifndef AUBURNRAIL_ENDPOINT_PROMOTEREQUEST_H
#define AUBURNRAIL_ENDPOINT_PROMOTEREQUEST_H

#include <failover/GroupEndpoint.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// Makes an endpoint primary of a term.
struct PromoteRequest
{
    std::string exchangeId; ///< Must come back in the answer.
    std::uint64_t term = 0;
    std::vector<GroupEndpoint> members; ///< All endpoints of the group.
};

} // namespace auburnrail

#endif
