#ifndef AUBURNRAIL_CORE_RANKEDMUTEX_H
#define AUBURNRAIL_CORE_RANKEDMUTEX_H

#include <core/LockRank.h>

#include <absl/base/thread_annotations.h>

#include <mutex>

namespace auburnrail {

/// Mutex with a rank from LockRank. With AUBURNRAIL_CHECK_LOCK_ORDER, locking out of order prints
/// both ranks and aborts, since such code can deadlock even when it did not in this run.
class ABSL_LOCKABLE RankedMutex
{
public:
    explicit RankedMutex(LockRank rank);
    RankedMutex(const RankedMutex &) = delete;
    auto operator=(const RankedMutex &) -> RankedMutex & = delete;
    ~RankedMutex() = default;

    ABSL_EXCLUSIVE_LOCK_FUNCTION() auto lock() -> void;
    ABSL_UNLOCK_FUNCTION() auto unlock() -> void;

private:
    std::mutex mutex;
    LockRank rank;
};

} // namespace auburnrail

#endif
