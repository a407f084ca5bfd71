#ifndef AUBURNRAIL_PROXY_TESTS_SIMULATEDSERVER_H
#define AUBURNRAIL_PROXY_TESTS_SIMULATEDSERVER_H

#include <core/Executor.h>

#include <cstddef>
#include <deque>
#include <functional>

namespace auburnrail::testing {

/// A server on virtual time with a few slots, a bounded queue and a connection limit. Opening a
/// connection occupies a slot, as a statement does. A statement that finds the queue full is
/// refused.
class SimulatedServer
{
public:
    static constexpr auto SLOTS = std::size_t(5);
    static constexpr auto QUEUE = std::size_t(40);
    static constexpr auto CONNECTIONS = std::size_t(82);
    static constexpr auto OPENING_TIME = Duration(std::chrono::milliseconds(12));
    static constexpr auto STATEMENT_TIME = Duration(std::chrono::milliseconds(20));

    using Done = std::function<auto(bool)->void>;

    explicit SimulatedServer(Executor serverExecutor)
        : executor(std::move(serverExecutor))
    {
    }

    /// `done` receives false when the connection limit is reached.
    auto connect(Done done) -> void
    {
        if (this->connections >= CONNECTIONS) {
            done(false);
            return;
        }
        ++this->connections;
        ++this->openings;
        this->waiting.push_back({OPENING_TIME, std::move(done)});
        this->serveNext();
    }

    /// `done` receives false when the server refuses the statement.
    auto run(Done done) -> void
    {
        if (this->busy >= SLOTS && this->waiting.size() >= QUEUE) {
            done(false);
            return;
        }
        this->waiting.push_back({STATEMENT_TIME, std::move(done)});
        this->serveNext();
    }

    auto disconnect() -> void
    {
        --this->connections;
    }

    std::size_t openings = 0;

private:
    struct Job
    {
        Duration length;
        Done done;
    };

    auto serveNext() -> void
    {
        if (this->busy >= SLOTS || this->waiting.empty())
            return;
        ++this->busy;
        auto job = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->executor.postAfter(job.length, [this, done = std::move(job.done)] {
            --this->busy;
            done(true);
            this->serveNext();
        });
    }

    Executor executor;
    std::size_t connections = 0;
    std::size_t busy = 0;
    std::deque<Job> waiting;
};

} // namespace auburnrail::testing

#endif
