#ifndef AUBURNRAIL_CORE_WORKERPOOLHOOKS_H
#define AUBURNRAIL_CORE_WORKERPOOLHOOKS_H

#include <core/StartThread.h>

namespace auburnrail {

/// How a WorkerPool gets its threads. Called by whoever posts a task, possibly with locks held that
/// rank before LockRank::WorkerPool.
struct WorkerPoolHooks
{
    ThreadStarter startThread = auburnrail::startThread;
    RefusalHook refused; ///< Optional; called for each thread that can't be started.
};

} // namespace auburnrail

#endif
