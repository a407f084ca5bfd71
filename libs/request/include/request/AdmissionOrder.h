#ifndef AUBURNRAIL_REQUEST_ADMISSIONORDER_H
#define AUBURNRAIL_REQUEST_ADMISSIONORDER_H

#include <core/Time.h>

#include <string>

namespace auburnrail {

/// A request that needs a token of its organisation's rate.
struct AdmissionOrder
{
    std::string organisation;
    TimePoint objectiveEnd; ///< An answer after this misses the latency objective.
    TimePoint deadline;     ///< At the latest, the request is refused now.
};

} // namespace auburnrail

#endif
