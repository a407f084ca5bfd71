#ifndef AUBURNRAIL_REQUEST_ENDPOINTREQUEST_H
#define AUBURNRAIL_REQUEST_ENDPOINTREQUEST_H

#include <request/AccessMode.h>
#include <request/EndpointOperation.h>

#include <core/Position.h>
#include <core/Time.h>

#include <string>

namespace auburnrail {

/// Request to an endpoint. Has no member for the caller's key, so that it can't be forwarded.
struct EndpointRequest
{
    std::string exchangeId; ///< The response must repeat it.
    EndpointOperation operation = EndpointOperation::Execute;
    std::uint64_t term = 0; ///< Term that the entry holds for the group; the endpoint checks it.
    AccessMode mode = AccessMode::Read;
    std::string statement;
    Position minimumPosition; ///< A read is refused when the endpoint is behind it.
    std::string organisation; ///< With idempotencyKey: names the idempotency marker.
    std::string idempotencyKey;
    std::string fingerprint; ///< Request hash; a marker with another one is a conflict.
    Duration waitLimit{};    ///< For Await: longest wait at the endpoint.
};

} // namespace auburnrail

#endif
