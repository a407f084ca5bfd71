#ifndef AUBURNRAIL_HTTP_EXCHANGERESULT_H
#define AUBURNRAIL_HTTP_EXCHANGERESULT_H

#include <http/ExchangePhase.h>
#include <http/HttpResponse.h>

#include <string>

namespace auburnrail {

/// End of one exchange with a server.
struct ExchangeResult
{
    ExchangePhase phase = ExchangePhase::Connecting;
    HttpResponse response; ///< Filled when phase is Answered.
    std::string error;     ///< Filled otherwise.
};

} // namespace auburnrail

#endif
