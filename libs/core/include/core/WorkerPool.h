#ifndef AUBURNRAIL_CORE_WORKERPOOL_H
#define AUBURNRAIL_CORE_WORKERPOOL_H

#include <core/Executor.h>
#include <core/RankedMutex.h>
#include <core/TaskQueue.h>
#include <core/WorkerPoolHooks.h>

#include <cstddef>
#include <thread>
#include <vector>

namespace auburnrail {

/// Threads that run posted tasks, and delayed tasks when they are due. There is one from the start;
/// another is started when all are busy and more tasks wait, up to a limit. A pool that gets no
/// further thread goes on with those that it has. Idle workers wait on a condition. Safe from any
/// thread.
class WorkerPool
{
public:
    /// Starts the first worker, and waits until the system has room for it. `threadLimit` is at
    /// least one.
    explicit WorkerPool(std::size_t threadLimit, WorkerPoolHooks poolHooks = {});
    WorkerPool(const WorkerPool &) = delete;
    auto operator=(const WorkerPool &) -> WorkerPool & = delete;

    /// Calls stop().
    ~WorkerPool();

    /// Hooks that run on this pool and read the system's monotonic clock. Valid while it lives.
    [[nodiscard]] auto executor() -> Executor;

    /// Lets running tasks end, drops the others and joins the workers. Not to be called by a task.
    auto stop() -> void;

    /// Number of workers started so far.
    [[nodiscard]] auto threadCount() -> std::size_t;

private:
    auto run() -> void;

    /// Counts a worker that is about to be started; false at the limit.
    [[nodiscard]] auto reserveWorker() -> bool;

    /// Starts another worker if one is wanted, unless the limit is reached or the system has no
    /// room for it.
    auto grow() -> void;

    const std::size_t limit;
    const WorkerPoolHooks hooks;
    TaskQueue queue;
    RankedMutex mutex{LockRank::WorkerPool};
    std::vector<std::thread> workers ABSL_GUARDED_BY(mutex);
    std::size_t startedWorkers ABSL_GUARDED_BY(mutex) = 0; ///< Including one that is being started.
    bool stopping ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail

#endif
