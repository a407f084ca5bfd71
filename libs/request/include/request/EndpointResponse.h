#ifndef AUBURNRAIL_REQUEST_ENDPOINTRESPONSE_H
#define AUBURNRAIL_REQUEST_ENDPOINTRESPONSE_H

#include <request/EndpointRefusal.h>

#include <core/Position.h>
#include <core/Time.h>

#include <string>

namespace auburnrail {

/// Response of an endpoint to one EndpointRequest, with the status that every response carries.
struct EndpointResponse
{
    std::string exchangeId;
    EndpointRefusal refusal = EndpointRefusal::None;
    std::string result;
    bool duplicate = false; ///< `result` comes from an idempotency marker.
    Position position;      ///< Of the write or commit; otherwise the last applied one.
    std::uint64_t term = 0; ///< Highest term the endpoint knows.
    bool primary = false;
    bool leaving = false;
    Duration dataAge{}; ///< Age of the data when the endpoint responded; 0 at a primary.
};

} // namespace auburnrail

#endif
