#include <net/IoPool.h>

#include "detail/IoTimers.h"
#include "detail/OpenStreams.h"

#include <core/MonotonicClock.h>
#include <core/StartThread.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <cassert>
#include <thread>
#include <vector>

namespace auburnrail {

struct IoPool::Impl
{
    explicit Impl(std::size_t threadCount)
        : context(static_cast<int>(threadCount))
        , work(boost::asio::make_work_guard(context))
        , timers(std::make_shared<detail::IoTimers>(context))
    {
    }

    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::shared_ptr<detail::IoTimers> timers;
    std::shared_ptr<detail::OpenStreams> streams = std::make_shared<detail::OpenStreams>();
    std::vector<std::thread> threads;
};

IoPool::IoPool(std::size_t threadCount, const RefusalHook &refused)
{
    assert(threadCount > 0 && "threadCount must be at least 1");
    this->impl = std::make_unique<Impl>(threadCount);
    const auto run = [context = &this->impl->context] {
        context->run();
    };
    this->impl->threads.push_back(startRequiredThread(run, refused));
    while (this->impl->threads.size() < threadCount) {
        auto thread = startThread(run);
        if (!thread.ok()) {
            if (refused)
                refused(thread.status());
            return;
        }
        this->impl->threads.push_back(*std::move(thread));
    }
}

IoPool::~IoPool()
{
    this->stop();
}

auto IoPool::executor() -> Executor
{
    return Executor{
        .now = monotonicNow,
        .post = [this](Task task) { boost::asio::post(this->impl->context, std::move(task)); },
        .postAfter =
            [timers = this->impl->timers](Duration delay, Task task) {
                return timers->start(delay, std::move(task));
            },
        .cancel = [timers = this->impl->timers](TimerId id) { timers->cancel(id); },
    };
}

auto IoPool::stop() -> void
{
    this->impl->work.reset();
    this->impl->context.stop();
    for (auto &thread : this->impl->threads) {
        if (thread.joinable())
            thread.join();
    }
    this->impl->streams->endAll();
    this->impl->timers->dropAll();
}

auto IoPool::openStreams() -> std::shared_ptr<detail::OpenStreams>
{
    return this->impl->streams;
}

auto IoPool::context() -> boost::asio::io_context &
{
    return this->impl->context;
}

} // namespace auburnrail
