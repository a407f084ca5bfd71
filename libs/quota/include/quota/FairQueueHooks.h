#ifndef AUBURNRAIL_QUOTA_FAIRQUEUEHOOKS_H
#define AUBURNRAIL_QUOTA_FAIRQUEUEHOOKS_H

#include <quota/WaiterId.h>

#include <core/ReasonCode.h>

#include <functional>

namespace auburnrail {

/// Outcome of queued waiters. Called with no mutex held, once for each waiter that was `Queued` and
/// not cancelled; a hook may be empty.
struct FairQueueHooks
{
    /// The waiter has been admitted and holds a slot, if the queue has slots.
    std::function<auto(WaiterId waiter)->void> admitted;

    /// The waiter was displaced by another (`QueueFull`) or can no longer meet its deadline
    /// (`DeadlineTooClose`).
    std::function<auto(WaiterId waiter, ReasonCode reason)->void> refused;
};

} // namespace auburnrail

#endif
