#ifndef AUBURNRAIL_CORE_WORKERPOOL_H
#define AUBURNRAIL_CORE_WORKERPOOL_H

#include <core/Executor.h>
#include <core/TaskQueue.h>

#include <cstddef>
#include <thread>
#include <vector>

namespace auburnrail {

/// Fixed set of threads that run posted tasks, and delayed tasks when they are due. Idle workers
/// wait on a condition. Safe from any thread.
class WorkerPool
{
public:
    /// Starts `threadCount` workers; at least one.
    explicit WorkerPool(std::size_t threadCount);
    WorkerPool(const WorkerPool &) = delete;
    auto operator=(const WorkerPool &) -> WorkerPool & = delete;

    /// Calls stop().
    ~WorkerPool();

    /// Hooks that run on this pool and read the system's monotonic clock. Valid while it lives.
    [[nodiscard]] auto executor() -> Executor;

    /// Lets running tasks end, drops the others and joins the workers. Not to be called by a task.
    auto stop() -> void;

private:
    auto run() -> void;

    TaskQueue queue;
    std::vector<std::thread> workers;
};

} // namespace auburnrail

#endif
