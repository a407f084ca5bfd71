#ifndef AUBURNRAIL_QUOTA_FAIRQUEUEHOOKS_H
#define AUBURNRAIL_QUOTA_FAIRQUEUEHOOKS_H

#include <quota/WaiterId.h>

#include <core/ReasonCode.h>

#include <functional>

namespace auburnrail {

/// How queued waiters end. Called with no mutex held, once for each waiter that was `Queued` and
/// not cancelled; a hook may be empty.
struct FairQueueHooks
{
    /// The waiter holds a slot now.
    std::function<auto(WaiterId waiter)->void> admitted;

    /// The waiter gave its place to another (`QueueFull`) or can no longer meet its deadline
    /// (`DeadlineTooClose`).
    std::function<auto(WaiterId waiter, ReasonCode reason)->void> refused;
};

} // namespace auburnrail

#endif
