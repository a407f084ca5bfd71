#ifndef AUBURNRAIL_CORE_RANKEDLOCK_H
#define AUBURNRAIL_CORE_RANKEDLOCK_H

#include <core/RankedMutex.h>

namespace auburnrail {

/// Holds a RankedMutex for the length of a scope. Declare it as `const RankedLock lock(mutex);`:
/// Clang 14 does not follow a lock through `auto lock = RankedLock(mutex)`.
class ABSL_SCOPED_LOCKABLE RankedLock
{
public:
    explicit RankedLock(RankedMutex &target) ABSL_EXCLUSIVE_LOCK_FUNCTION(target)
        : mutex(target)
    {
        this->mutex.lock();
    }

    ~RankedLock() ABSL_UNLOCK_FUNCTION()
    {
        this->mutex.unlock();
    }

    RankedLock(const RankedLock &) = delete;
    auto operator=(const RankedLock &) -> RankedLock & = delete;

private:
    RankedMutex &mutex;
};

} // namespace auburnrail

#endif
