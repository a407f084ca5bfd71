#ifndef AUBURNRAIL_REQUEST_ENDPOINTEXCHANGE_H
#define AUBURNRAIL_REQUEST_ENDPOINTEXCHANGE_H

#include <request/EndpointExchangePhase.h>
#include <request/EndpointResponse.h>

#include <string>

namespace auburnrail {

/// Result of one exchange with an endpoint.
struct EndpointExchange
{
    EndpointExchangePhase phase = EndpointExchangePhase::Connecting;
    EndpointResponse response; ///< Set if phase is Answered.
    std::string error;         ///< Set otherwise.
};

} // namespace auburnrail

#endif
