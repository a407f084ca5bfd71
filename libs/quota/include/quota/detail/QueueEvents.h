#ifndef AUBURNRAIL_QUOTA_DETAIL_QUEUEEVENTS_H
#define AUBURNRAIL_QUOTA_DETAIL_QUEUEEVENTS_H

#include <quota/WaiterId.h>

#include <core/ReasonCode.h>

#include <utility>
#include <vector>

namespace auburnrail::detail {

/// Hook calls that a FairQueue collects under its mutex and makes after releasing it.
struct QueueEvents
{
    std::vector<WaiterId> admitted;
    std::vector<std::pair<WaiterId, ReasonCode>> refused;
};

} // namespace auburnrail::detail

#endif
