#ifndef AUBURNRAIL_REQUEST_ENDPOINTANSWER_H
#define AUBURNRAIL_REQUEST_ENDPOINTANSWER_H

#include <request/EndpointRefusal.h>

#include <core/Position.h>
#include <core/Time.h>

#include <string>

namespace auburnrail {

/// Answer of an endpoint to one EndpointRequest, with the state that every answer carries.
struct EndpointAnswer
{
    std::string exchangeId;
    EndpointRefusal refusal = EndpointRefusal::None;
    std::string result;
    bool duplicate = false; ///< `result` comes from an idempotency marker.
    Position position;      ///< Write or commit: its own position. Otherwise the last applied one.
    std::uint64_t term = 0; ///< Highest term the endpoint knows.
    bool primary = false;
    bool leaving = false;
    Duration dataAge{}; ///< Age of the data when the answer was made; 0 at a primary.
};

} // namespace auburnrail

#endif
