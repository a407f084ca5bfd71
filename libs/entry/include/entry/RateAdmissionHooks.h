#ifndef AUBURNRAIL_ENTRY_RATEADMISSIONHOOKS_H
#define AUBURNRAIL_ENTRY_RATEADMISSIONHOOKS_H

#include <request/RequestRefusal.h>

#include <core/Time.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace auburnrail {

/// Gets nothing when a request is admitted.
using AdmissionDone = std::function<auto(std::optional<RequestRefusal>)->void>;

/// The tokens behind a RateAdmission. The hooks may take locks of a higher rank than RateAdmission
/// only, since they run with the queue locked: a token taken for a waiter must go to that waiter.
struct RateAdmissionHooks
{
    /// Counts an arrival and takes a token if there is one.
    std::function<auto(const std::string &organisation, TimePoint now)->bool> tryAcquire;

    /// Takes a token for a request that waited.
    std::function<auto(const std::string &organisation, TimePoint now)->bool> tryAcquireQueued;

    /// Time until the next token; nothing when the present share never yields one.
    std::function<auto(const std::string &organisation, TimePoint now)->std::optional<Duration>>
        timeToToken;

    /// Tells how many requests wait.
    std::function<auto(const std::string &organisation, std::size_t waiting, TimePoint now)->void>
        setBacklog;
};

} // namespace auburnrail

#endif
