#include <core/WorkerPool.h>

#include <core/RankedLock.h>

#include <cassert>

namespace auburnrail {

WorkerPool::WorkerPool(std::size_t threadCount)
{
    assert(threadCount > 0 && "threadCount must be at least 1");
    this->workers.reserve(threadCount);
    for (auto index = std::size_t(0); index < threadCount; ++index)
        this->workers.emplace_back([this] { this->run(); });
}

WorkerPool::~WorkerPool()
{
    this->stop();
}

auto WorkerPool::executor() -> Executor
{
    return Executor{
        .now = [] { return std::chrono::steady_clock::now(); },
        .post = [this](Task task) { this->post(std::move(task)); },
        .postAfter = [this](Duration delay,
                            Task task) { return this->postAfter(delay, std::move(task)); },
        .cancel = [this](TimerId id) { this->cancel(id); },
    };
}

auto WorkerPool::stop() -> void
{
    {
        const RankedLock lock(this->mutex);
        this->stopping = true;
        this->wakeUp.notifyAll();
    }
    for (auto &worker : this->workers) {
        if (worker.joinable())
            worker.join();
    }
}

auto WorkerPool::post(Task task) -> void
{
    const RankedLock lock(this->mutex);
    this->ready.push_back(std::move(task));
    this->wakeUp.notifyOne();
}

auto WorkerPool::postAfter(Duration delay, Task task) -> TimerId
{
    const RankedLock lock(this->mutex);
    const auto id =
        this->timers.schedule(std::chrono::steady_clock::now() + delay, std::move(task));
    // A waiting worker must recompute its wake-up time.
    this->wakeUp.notifyOne();
    return id;
}

auto WorkerPool::cancel(TimerId id) -> void
{
    const RankedLock lock(this->mutex);
    this->timers.cancel(id);
}

auto WorkerPool::run() -> void
{
    while (const auto task = this->takeTask())
        (*task)();
}

auto WorkerPool::takeTask() -> std::optional<Task>
{
    const RankedLock lock(this->mutex);
    while (!this->stopping) {
        if (auto due = this->timers.takeDue(std::chrono::steady_clock::now()))
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

} // namespace auburnrail
