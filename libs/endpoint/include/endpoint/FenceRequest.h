#ifndef AUBURNRAIL_ENDPOINT_FENCEREQUEST_H
#define AUBURNRAIL_ENDPOINT_FENCEREQUEST_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Raises the term of an endpoint, so that it refuses requests and replication of lower terms.
struct FenceRequest
{
    std::string exchangeId; ///< The response must carry the same id.
    std::uint64_t term = 0;
};

} // namespace auburnrail

#endif
