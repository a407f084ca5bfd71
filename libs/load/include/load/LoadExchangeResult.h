#ifndef AUBURNRAIL_LOAD_LOADEXCHANGERESULT_H
#define AUBURNRAIL_LOAD_LOADEXCHANGERESULT_H

#include <request/CallerAnswer.h>

namespace auburnrail {

/// What came back for one request of a sender.
struct LoadExchangeResult
{
    CallerAnswer answer;
    bool isWhole = true; ///< False: cut short, not readable or the answer to another request.
};

} // namespace auburnrail

#endif
