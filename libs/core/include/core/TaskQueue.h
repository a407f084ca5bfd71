#ifndef AUBURNRAIL_CORE_TASKQUEUE_H
#define AUBURNRAIL_CORE_TASKQUEUE_H

#include <core/Executor.h>
#include <core/RankedCondition.h>
#include <core/RankedMutex.h>
#include <core/TimerQueue.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace auburnrail {

/// Tasks for one or more threads: ready ones in order of posting, delayed ones when they are due.
/// Uses the system's monotonic clock. Of the threads that wait, one waits for the earliest delayed
/// task and the others for a task to be posted, so that a delayed task wakes up two threads at
/// most: the one that takes it and the one that waits for the next. Safe from any thread.
class TaskQueue
{
public:
    auto post(Task task) -> void;
    auto postAfter(Duration delay, Task task) -> TimerId;

    /// Drops a delayed task that has not been taken.
    auto cancel(TimerId id) -> void;

    /// Blocks until a task is ready or due and takes it; nothing after close(). `isFirst` for the
    /// first call of a thread that was expected.
    [[nodiscard]] auto take(bool isFirst = false) -> std::optional<Task>;

    /// Whether tasks wait and every thread is busy. If so, a thread is expected.
    [[nodiscard]] auto wantsThread() -> bool;

    /// Counts a thread as about to start until its first take() or threadRefused().
    auto expectThread() -> void;

    /// A thread that was expected can't be started.
    auto threadRefused() -> void;

    /// Ends every take(); tasks that were not taken are dropped.
    auto close() -> void;

    /// How often a waiting thread was woken up or its wait ended.
    [[nodiscard]] auto wakeUps() -> std::uint64_t;

private:
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto takeAvailable() -> std::optional<Task>;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto waitForTask() -> void;
    /// Notifies a thread that waits for a task to be posted; false if all of them are notified.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto wakeIdleThread() -> bool;

    RankedMutex mutex{LockRank::WorkerQueue};
    RankedCondition posted;
    RankedCondition timersChanged; ///< For the one thread that waits for the earliest delayed task.
    bool timerThreadWaits ABSL_GUARDED_BY(mutex) = false;
    std::size_t idleThreads ABSL_GUARDED_BY(mutex) = 0;     ///< Wait for a task to be posted.
    std::size_t startingThreads ABSL_GUARDED_BY(mutex) = 0; ///< See wantsThread().
    std::size_t notifiedThreads ABSL_GUARDED_BY(mutex) = 0; ///< Of those, about to wake up.
    std::uint64_t wakeUpCount ABSL_GUARDED_BY(mutex) = 0;
    std::deque<Task> ready ABSL_GUARDED_BY(mutex);
    TimerQueue timers ABSL_GUARDED_BY(mutex);
    bool closed ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail

#endif
