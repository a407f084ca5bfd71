#ifndef AUBURNRAIL_CORE_STARTTHREAD_H
#define AUBURNRAIL_CORE_STARTTHREAD_H

#include <core/Executor.h>
#include <core/RefusalHook.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <thread>

namespace auburnrail {

/// Starts a thread that runs a task, as startThread() does.
using ThreadStarter = std::function<auto(Task)->absl::StatusOr<std::thread>>;

/// Starts a thread that runs `task`. `kResourceExhausted` when the system has no room for another
/// thread.
[[nodiscard]] auto startThread(Task task) -> absl::StatusOr<std::thread>;

/// Repeats `attempt` while it ends with `kResourceExhausted`, and returns its other outcome.
/// `refused` may be empty and is called once if the first attempt ends so.
auto untilThreadStarts(const std::function<auto()->absl::Status> &attempt,
                       const RefusalHook &refused) -> absl::Status;

/// Starts a thread that the caller can't do without: waits until the system has room for it.
/// `refused` as in untilThreadStarts().
[[nodiscard]] auto startRequiredThread(const Task &task, const RefusalHook &refused,
                                       const ThreadStarter &start = startThread) -> std::thread;

} // namespace auburnrail

#endif
