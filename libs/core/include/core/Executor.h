#ifndef AUBURNRAIL_CORE_EXECUTOR_H
#define AUBURNRAIL_CORE_EXECUTOR_H

#include <core/Time.h>
#include <core/TimerId.h>

#include <functional>

namespace auburnrail {

/// Piece of work run by an executor.
using Task = std::function<auto()->void>;

/// Where a component gets its time and runs its deferred work. A daemon fills it from WorkerPool, a
/// test from VirtualScheduler, so that both run the same component.
struct Executor
{
    Clock now;
    std::function<auto(Task)->void> post;                   ///< Runs the task soon on some worker.
    std::function<auto(Duration, Task)->TimerId> postAfter; ///< Runs the task after a delay.
    std::function<auto(TimerId)->void> cancel; ///< Drops a delayed task that has not started.
};

} // namespace auburnrail

#endif
