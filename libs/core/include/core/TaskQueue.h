#ifndef AUBURNRAIL_CORE_TASKQUEUE_H
#define AUBURNRAIL_CORE_TASKQUEUE_H

#include <core/Executor.h>
#include <core/RankedCondition.h>
#include <core/RankedMutex.h>
#include <core/TimerQueue.h>

#include <deque>
#include <optional>

namespace auburnrail {

/// Tasks for one or more threads: ready ones in order of posting, delayed ones when they are due.
/// Uses the system's monotonic clock. Safe from any thread.
class TaskQueue
{
public:
    auto post(Task task) -> void;
    auto postAfter(Duration delay, Task task) -> TimerId;

    /// Drops a delayed task that has not been taken.
    auto cancel(TimerId id) -> void;

    /// Blocks until a task is ready or due and takes it; nothing after close().
    [[nodiscard]] auto take() -> std::optional<Task>;

    /// Ends every take(); tasks that were not taken are dropped.
    auto close() -> void;

private:
    RankedMutex mutex{LockRank::WorkerQueue};
    RankedCondition wakeUp;
    std::deque<Task> ready ABSL_GUARDED_BY(mutex);
    TimerQueue timers ABSL_GUARDED_BY(mutex);
    bool closed ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail

#endif
