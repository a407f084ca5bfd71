#ifndef AUBURNRAIL_CORE_TIMERQUEUE_H
#define AUBURNRAIL_CORE_TIMERQUEUE_H

#include <core/Executor.h>
#include <core/Time.h>
#include <core/TimerId.h>

#include <map>
#include <optional>
#include <utility>

namespace auburnrail {

/// Delayed tasks ordered by due time; tasks due at the same time keep the order of scheduling.
/// Thread rule: guarded by its owner.
class TimerQueue
{
public:
    /// Adds `task`, due at `due`.
    auto schedule(TimePoint due, Task task) -> TimerId;

    /// Removes a task; does nothing when it is gone already.
    auto cancel(TimerId id) -> void;

    /// Removes and returns the first task that is due at `now`.
    [[nodiscard]] auto takeDue(TimePoint now) -> std::optional<Task>;

    /// When the first task is due, if there is one.
    [[nodiscard]] auto nextDue() const -> std::optional<TimePoint>;

private:
    std::map<std::pair<TimePoint, TimerId>, Task> tasks;
    std::map<TimerId, TimePoint> dueTimes;
    TimerId lastId = 0;
};

} // namespace auburnrail

#endif
