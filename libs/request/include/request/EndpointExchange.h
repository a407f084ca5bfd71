#ifndef AUBURNRAIL_REQUEST_ENDPOINTEXCHANGE_H
#define AUBURNRAIL_REQUEST_ENDPOINTEXCHANGE_H

#include <request/EndpointAnswer.h>
#include <request/EndpointExchangePhase.h>

#include <string>

namespace auburnrail {

/// End of one exchange with an endpoint.
struct EndpointExchange
{
    EndpointExchangePhase phase = EndpointExchangePhase::Connecting;
    EndpointAnswer answer; ///< Filled when phase is Answered.
    std::string error;     ///< Filled otherwise.
};

} // namespace auburnrail

#endif
