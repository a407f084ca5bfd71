#ifndef AUBURNRAIL_ENTRY_RATEADMISSIONHOOKS_H
#define AUBURNRAIL_ENTRY_RATEADMISSIONHOOKS_H

#include <request/RequestRefusal.h>

#include <core/Time.h>

#include <cstddef>
#include <quota/TokenForecast.h>

#include <functional>
#include <optional>
#include <string>

namespace auburnrail {

/// Called with nothing when a request is admitted, else with the refusal.
using AdmissionDone = std::function<auto(std::optional<RequestRefusal>)->void>;

/// Token source of a RateAdmission. The hooks run with the queue locked, because a token taken for
/// a waiter must go to that waiter; so they may only take locks of a higher rank than
/// RateAdmission.
struct RateAdmissionHooks
{
    /// Counts an arrival and takes a token if there is one.
    std::function<auto(const std::string &organisation, TimePoint now)->bool> tryAcquire;

    /// Takes a token for a request that has waited.
    std::function<auto(const std::string &organisation, TimePoint now)->bool> tryAcquireQueued;

    /// Time until the next token; nothing if the current share never yields one.
    std::function<auto(const std::string &organisation, TimePoint now)->std::optional<Duration>>
        timeToToken;

    /// When the leader expects tokens for waiting requests; nothing when none are to be had there.
    std::function<
        auto(const std::string &organisation, TimePoint now)->std::optional<TokenForecast>>
        forecast;

    /// Reports the number of waiting requests.
    std::function<auto(const std::string &organisation, std::size_t waiting, TimePoint now)->void>
        setBacklog;
};

} // namespace auburnrail

#endif
