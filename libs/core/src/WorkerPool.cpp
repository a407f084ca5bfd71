#include <core/MonotonicClock.h>
#include <core/RankedLock.h>
#include <core/WorkerPool.h>

#include <cassert>
#include <utility>

namespace auburnrail {

WorkerPool::WorkerPool(std::size_t threadLimit, WorkerPoolHooks poolHooks)
    : limit(threadLimit)
    , hooks(std::move(poolHooks))
{
    assert(threadLimit > 0 && "threadLimit must be at least 1");
    this->queue.expectThread();
    auto first =
        startRequiredThread([this] { this->run(); }, this->hooks.refused, this->hooks.startThread);
    const RankedLock lock(this->mutex);
    this->workers.push_back(std::move(first));
    ++this->startedWorkers;
}

WorkerPool::~WorkerPool()
{
    this->stop();
}

auto WorkerPool::executor() -> Executor
{
    return Executor{
        .now = monotonicNow,
        .post =
            [this](Task task) {
                this->queue.post(std::move(task));
                this->grow();
            },
        .postAfter =
            [this](Duration delay, Task task) {
                const auto id = this->queue.postAfter(delay, std::move(task));
                this->grow();
                return id;
            },
        .cancel = [this](TimerId id) { this->queue.cancel(id); },
    };
}

auto WorkerPool::stop() -> void
{
    this->queue.close();
    auto ending = std::vector<std::thread>();
    {
        const RankedLock lock(this->mutex);
        this->stopping = true;
        ending.swap(this->workers);
    }
    for (auto &worker : ending)
        worker.join();
}

auto WorkerPool::threadCount() -> std::size_t
{
    const RankedLock lock(this->mutex);
    return this->startedWorkers;
}

auto WorkerPool::run() -> void
{
    for (auto task = this->queue.take(true); task; task = this->queue.take()) {
        this->grow();
        (*task)();
    }
}

auto WorkerPool::reserveWorker() -> bool
{
    const RankedLock lock(this->mutex);
    if (this->stopping || this->startedWorkers == this->limit)
        return false;
    ++this->startedWorkers;
    return true;
}

auto WorkerPool::grow() -> void
{
    if (!this->queue.wantsThread())
        return;
    if (!this->reserveWorker()) {
        this->queue.threadRefused();
        return;
    }
    auto worker = this->hooks.startThread([this] { this->run(); });
    if (!worker.ok()) {
        this->queue.threadRefused();
        if (this->hooks.refused)
            this->hooks.refused(worker.status());
    }
    {
        const RankedLock lock(this->mutex);
        if (!worker.ok()) {
            --this->startedWorkers;
            return;
        }
        if (!this->stopping) {
            this->workers.push_back(*std::move(worker));
            return;
        }
    }
    worker->join(); // The queue is closed, so that it ends at once.
}

} // namespace auburnrail
