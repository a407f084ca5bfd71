#ifndef AUBURNRAIL_LOAD_LOADEXCHANGERESULT_H
#define AUBURNRAIL_LOAD_LOADEXCHANGERESULT_H

#include <request/CallerResponse.h>

namespace auburnrail {

/// What came back for one request of a sender.
struct LoadExchangeResult
{
    CallerResponse answer;
    bool isWhole = true; ///< False: cut short, not readable or the answer to another request.
};

} // namespace auburnrail

#endif
