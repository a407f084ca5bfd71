#ifndef AUBURNRAIL_ENDPOINT_PROMOTEREQUEST_H
#define AUBURNRAIL_ENDPOINT_PROMOTEREQUEST_H

#include <failover/GroupEndpoint.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// Makes an endpoint the primary of its group for `term`.
struct PromoteRequest
{
    std::string exchangeId; ///< The response must carry the same id.
    std::uint64_t term = 0;
    std::vector<GroupEndpoint> members; ///< All endpoints of the group.
};

} // namespace auburnrail

#endif
