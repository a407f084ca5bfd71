#ifndef AUBURNRAIL_OBSERVE_REQUESTSAMPLE_H
#define AUBURNRAIL_OBSERVE_REQUESTSAMPLE_H

#include <core/ReasonCode.h>
#include <core/Time.h>

#include <string>

namespace auburnrail {

/// How one request ended, as objectives see it.
struct RequestSample
{
    std::string service;
    std::string organisation;
    ReasonCode reason = ReasonCode::Completed;
    bool failed = false;   ///< Through a fault of the system, not of the caller or by its limits.
    bool wrongful = false; ///< Refused although the organisation was within its rate.
    Duration latency = Duration::zero();
};

} // namespace auburnrail

#endif
