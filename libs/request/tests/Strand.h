#ifndef AUBURNRAIL_REQUEST_TESTS_STRAND_H
#define AUBURNRAIL_REQUEST_TESTS_STRAND_H

#include <request/RequestHooks.h>

#include <deque>
#include <memory>
#include <mutex>

namespace auburnrail {

/// Serialises the tasks of one request on a WorkerPool: runs them one at a time, in order.
class Strand : public std::enable_shared_from_this<Strand>
{
public:
    explicit Strand(Executor executor)
        : executor(std::move(executor))
    {
    }

    auto post(Task task) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->tasks.push_back(std::move(task));
        if (this->tasks.size() == 1)
            this->executor.post([self = this->shared_from_this()] { self->run(); });
    }

private:
    auto run() -> void
    {
        auto task = Task();
        {
            const auto lock = std::lock_guard(this->mutex);
            task = this->tasks.front();
        }
        task();
        const auto lock = std::lock_guard(this->mutex);
        this->tasks.pop_front();
        if (!this->tasks.empty())
            this->executor.post([self = this->shared_from_this()] { self->run(); });
    }

    Executor executor;
    std::mutex mutex;
    std::deque<Task> tasks;
};

/// Wraps `done` so that it runs on the strand.
template <typename Argument>
auto onStrand(const std::shared_ptr<Strand> &strand, std::function<auto(Argument)->void> done)
    -> std::function<auto(Argument)->void>
{
    return [strand, done = std::move(done)](Argument argument) {
        strand->post([done, argument = std::move(argument)] { done(argument); });
    };
}

/// Wraps `hooks` so that every callback runs on the strand.
inline auto onStrand(const std::shared_ptr<Strand> &strand, RequestHooks hooks) -> RequestHooks
{
    auto wrapped = hooks;
    wrapped.acquire = [=](const std::string &endpoint, const std::string &organisation,
                          std::uint32_t weight, TimePoint deadline,
                          const RequestHooks::AcquireDone &done) {
        hooks.acquire(endpoint, organisation, weight, deadline, onStrand(strand, done));
    };
    wrapped.exchange = [=](const ConnectionHandle &handle, const EndpointRequest &request,
                           Duration limit, const RequestHooks::ExchangeDone &done) {
        hooks.exchange(handle, request, limit, onStrand(strand, done));
    };
    wrapped.awaitReplicas = [=](const std::string &group, Position position, TimePoint deadline,
                                const RequestHooks::ConfirmDone &done) {
        hooks.awaitReplicas(group, position, deadline, onStrand(strand, done));
    };
    wrapped.after = [=](Duration delay, const Task &task) {
        hooks.after(delay, [strand, task] { strand->post(task); });
    };
    return wrapped;
}

} // namespace auburnrail

#endif
