#ifndef AUBURNRAIL_CORE_VIRTUALSCHEDULER_H
#define AUBURNRAIL_CORE_VIRTUALSCHEDULER_H

#include <core/Executor.h>
#include <core/TimerQueue.h>

namespace auburnrail {

/// One worker on a virtual clock: runs tasks in due order on the calling thread, and moves the
/// clock to each task's due time. With seeded randomness a run repeats exactly. Thread rule: one
/// thread.
class VirtualScheduler
{
public:
    [[nodiscard]] auto executor() -> Executor;
    [[nodiscard]] auto now() const -> TimePoint;

    /// Runs every task due until `end`, then sets the clock to `end`.
    auto runUntil(TimePoint end) -> void;

    /// Runs every task due within `length` from now.
    auto runFor(Duration length) -> void;

private:
    TimerQueue timers;
    TimePoint clock;
};

} // namespace auburnrail

#endif
