#include <core/MonotonicClock.h>
#include <core/TaskQueue.h>

#include <core/RankedLock.h>

namespace auburnrail {

auto TaskQueue::post(Task task) -> void
{
    const RankedLock lock(this->mutex);
    this->ready.push_back(std::move(task));
    this->wakeUp.notifyOne();
}

auto TaskQueue::postAfter(Duration delay, Task task) -> TimerId
{
    const RankedLock lock(this->mutex);
    const auto due = monotonicNow() + delay;
    const auto id = this->timers.schedule(due, std::move(task));
    // A waiting thread has to recompute its wake-up time.
    this->wakeUp.notifyOne();
    return id;
}

auto TaskQueue::cancel(TimerId id) -> void
{
    const RankedLock lock(this->mutex);
    this->timers.cancel(id);
}

auto TaskQueue::take() -> std::optional<Task>
{
    const RankedLock lock(this->mutex);
    while (!this->closed) {
        if (auto due = this->timers.takeDue(monotonicNow()))
            return due;
        if (!this->ready.empty()) {
            auto task = std::move(this->ready.front());
            this->ready.pop_front();
            return task;
        }
        if (const auto next = this->timers.nextDue())
            this->wakeUp.waitUntil(this->mutex, *next);
        else
            this->wakeUp.wait(this->mutex);
    }
    return std::nullopt;
}

auto TaskQueue::close() -> void
{
    const RankedLock lock(this->mutex);
    this->closed = true;
    this->wakeUp.notifyAll();
}

} // namespace auburnrail
