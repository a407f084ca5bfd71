#ifndef AUBURNRAIL_REQUEST_ADMISSIONREQUEST_H
#define AUBURNRAIL_REQUEST_ADMISSIONREQUEST_H

#include <core/Time.h>

#include <string>

namespace auburnrail {

/// Asks for one token of an organisation's rate limit.
struct AdmissionRequest
{
    std::string organisation;
    TimePoint objectiveEnd; ///< A response later than this misses the latency objective.
    TimePoint deadline;     ///< The request is refused if it is not admitted by then.
};

} // namespace auburnrail

#endif
