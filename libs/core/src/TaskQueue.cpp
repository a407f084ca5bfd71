#include <core/MonotonicClock.h>
#include <core/TaskQueue.h>

#include <core/RankedLock.h>

namespace auburnrail {

auto TaskQueue::post(Task task) -> void
{
    const RankedLock lock(this->mutex);
    this->ready.push_back(std::move(task));
    if (!this->wakeIdleThread() && this->timerThreadWaits)
        this->timersChanged.notifyOne();
}

auto TaskQueue::postAfter(Duration delay, Task task) -> TimerId
{
    const RankedLock lock(this->mutex);
    const auto due = monotonicNow() + delay;
    const auto earliest = this->timers.nextDue();
    const auto id = this->timers.schedule(due, std::move(task));
    if (earliest && *earliest <= due)
        return id;
    if (this->timerThreadWaits)
        this->timersChanged.notifyOne();
    else
        this->wakeIdleThread();
    return id;
}

auto TaskQueue::cancel(TimerId id) -> void
{
    const RankedLock lock(this->mutex);
    this->timers.cancel(id);
}

auto TaskQueue::take(bool isFirst) -> std::optional<Task>
{
    const RankedLock lock(this->mutex);
    this->startingThreads -= isFirst ? 1 : 0;
    while (!this->closed) {
        if (auto task = this->takeAvailable()) {
            // This thread is busy from now on, so that what is left is for the others.
            if (!this->ready.empty() || (!this->timerThreadWaits && this->timers.nextDue()))
                this->wakeIdleThread();
            return task;
        }
        this->waitForTask();
    }
    return std::nullopt;
}

auto TaskQueue::takeAvailable() -> std::optional<Task>
{
    if (auto due = this->timers.takeDue(monotonicNow()))
        return due;
    if (this->ready.empty())
        return std::nullopt;
    auto task = std::move(this->ready.front());
    this->ready.pop_front();
    return task;
}

auto TaskQueue::waitForTask() -> void
{
    const auto next = this->timers.nextDue();
    if (next && !this->timerThreadWaits) {
        this->timerThreadWaits = true;
        this->timersChanged.waitUntil(this->mutex, *next);
        this->timerThreadWaits = false;
    } else {
        ++this->idleThreads;
        this->posted.wait(this->mutex);
        --this->idleThreads;
        this->notifiedThreads -= this->notifiedThreads > 0 ? 1 : 0;
    }
    ++this->wakeUpCount;
}

auto TaskQueue::wakeIdleThread() -> bool
{
    if (this->idleThreads == this->notifiedThreads)
        return false;
    ++this->notifiedThreads;
    this->posted.notifyOne();
    return true;
}

auto TaskQueue::wantsThread() -> bool
{
    const RankedLock lock(this->mutex);
    const auto isAnyFree =
        this->timerThreadWaits || this->idleThreads > 0 || this->startingThreads > 0;
    if (this->closed || isAnyFree || (this->ready.empty() && !this->timers.nextDue()))
        return false;
    ++this->startingThreads;
    return true;
}

auto TaskQueue::expectThread() -> void
{
    const RankedLock lock(this->mutex);
    ++this->startingThreads;
}

auto TaskQueue::threadRefused() -> void
{
    const RankedLock lock(this->mutex);
    --this->startingThreads;
}

auto TaskQueue::close() -> void
{
    const RankedLock lock(this->mutex);
    this->closed = true;
    this->posted.notifyAll();
    this->timersChanged.notifyAll();
}

auto TaskQueue::wakeUps() -> std::uint64_t
{
    const RankedLock lock(this->mutex);
    return this->wakeUpCount;
}

} // namespace auburnrail
