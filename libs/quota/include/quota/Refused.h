#ifndef AUBURNRAIL_QUOTA_REFUSED_H
#define AUBURNRAIL_QUOTA_REFUSED_H

#include <core/ReasonCode.h>

namespace auburnrail {

/// The waiter was not queued: `QueueFull` or `DeadlineTooClose`. No hook is called for it.
struct Refused
{
    ReasonCode reason = ReasonCode::QueueFull;
};

} // namespace auburnrail

#endif
