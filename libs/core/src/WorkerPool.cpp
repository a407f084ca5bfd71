#include <core/MonotonicClock.h>
#include <core/WorkerPool.h>

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
        .now = monotonicNow,
        .post = [this](Task task) { this->queue.post(std::move(task)); },
        .postAfter = [this](Duration delay,
                            Task task) { return this->queue.postAfter(delay, std::move(task)); },
        .cancel = [this](TimerId id) { this->queue.cancel(id); },
    };
}

auto WorkerPool::stop() -> void
{
    this->queue.close();
    for (auto &worker : this->workers) {
        if (worker.joinable())
            worker.join();
    }
}

auto WorkerPool::run() -> void
{
    while (const auto task = this->queue.take())
        (*task)();
}

} // namespace auburnrail
