#ifndef AUBURNRAIL_QUOTA_WAITER_H
#define AUBURNRAIL_QUOTA_WAITER_H

#include <quota/WaiterId.h>

#include <core/Time.h>

#include <string>

namespace auburnrail {

/// A request that waits for admission by a FairQueue.
struct Waiter
{
    WaiterId id = 0;
    std::string organisation;
    double weight = 1.0; ///< Of the organisation; greater than 0.
    TimePoint deadline;  ///< When the request has to be finished.

    /// Expected time that the request holds its slot; greater than 0. In a queue for tokens, the
    /// time in which the organisation's share yields one token.
    Duration service = std::chrono::milliseconds(1);

    /// Latest admission time that can still meet the deadline.
    [[nodiscard]] auto latestStart() const -> TimePoint
    {
        return this->deadline - this->service;
    }
};

} // namespace auburnrail

#endif
