#ifndef AUBURNRAIL_CORE_RANKEDCONDITION_H
#define AUBURNRAIL_CORE_RANKEDCONDITION_H

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <condition_variable>

namespace auburnrail {

/// Condition variable for a RankedMutex. The caller holds the mutex and rechecks its predicate in a
/// loop, because waits may end early.
class RankedCondition
{
public:
    /// Blocks until notified.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto wait(RankedMutex &mutex) -> void;

    /// Blocks until notified or `deadline`. Returns false when the deadline passed.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto waitUntil(RankedMutex &mutex, TimePoint deadline) -> bool;

    auto notifyOne() -> void;
    auto notifyAll() -> void;

private:
    std::condition_variable_any condition;
};

} // namespace auburnrail

#endif
