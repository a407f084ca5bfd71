#ifndef AUBURNRAIL_ENDPOINT_FENCEREQUEST_H
#define AUBURNRAIL_ENDPOINT_FENCEREQUEST_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Raises the term of an endpoint, so that it refuses work and replication of lower terms.
struct FenceRequest
{
    std::string exchangeId; ///< Must come back in the answer.
    std::uint64_t term = 0;
};

} // namespace auburnrail

#endif
