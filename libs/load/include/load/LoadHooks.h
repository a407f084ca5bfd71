#ifndef AUBURNRAIL_LOAD_LOADHOOKS_H
#define AUBURNRAIL_LOAD_LOADHOOKS_H

#include <load/LoadExchangeResult.h>

#include <request/CallerRequest.h>

#include <core/Time.h>

#include <cstddef>
#include <functional>

namespace auburnrail {

/// What a sender needs. Each sender has its own, so that it has its own connections.
struct LoadHooks
{
    /// Sends the request to target `target` (an index) and returns its answer.
    std::function<auto(std::size_t target, const CallerRequest &request)->LoadExchangeResult>
        exchange;
    Clock now;
    std::function<auto(TimePoint)->void> waitUntil;
    std::size_t targets = 1; ///< Number of entries.
};

} // namespace auburnrail

#endif
