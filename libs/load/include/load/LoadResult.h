#ifndef AUBURNRAIL_LOAD_LOADRESULT_H
#define AUBURNRAIL_LOAD_LOADRESULT_H

#include <load/PlannedRequest.h>

#include <request/CallerResponse.h>

#include <core/Time.h>

#include <cstdint>

namespace auburnrail {

/// End of one planned request.
struct LoadResult
{
    PlannedRequest request;
    Duration endedAt{}; ///< Since the start of the run.
    CallerResponse answer;
    bool withinRate = false;     ///< Last return of LoadAccounting::sent().
    bool missesOwnWrite = false; ///< A read without an acknowledged write of its session.
    bool isWhole = true;         ///< False: the answer was cut short, not readable or another's.
    std::uint64_t resends = 0;   ///< After an unknown outcome, with the same idempotency key.
};

} // namespace auburnrail

#endif
