#ifndef AUBURNRAIL_PROXY_AWAITLEASE_H
#define AUBURNRAIL_PROXY_AWAITLEASE_H

#include <core/Time.h>

#include <functional>

namespace auburnrail {

/// Waits until the entry holds a lease or the deadline passes, then calls `done` on any thread.
using AwaitLease =
    std::function<auto(TimePoint deadline, std::function<auto(bool held)->void> done)->void>;

} // namespace auburnrail

#endif
