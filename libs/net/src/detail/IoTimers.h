#ifndef AUBURNRAIL_NET_DETAIL_IOTIMERS_H
#define AUBURNRAIL_NET_DETAIL_IOTIMERS_H

#include <core/Executor.h>
#include <core/RankedMutex.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <absl/base/thread_annotations.h>

#include <map>
#include <memory>

namespace auburnrail::detail {

/// Timers of an IoPool, by number. Safe from any thread.
class IoTimers : public std::enable_shared_from_this<IoTimers>
{
public:
    explicit IoTimers(boost::asio::io_context &ioContext);

    auto start(Duration delay, Task task) -> TimerId;
    auto cancel(TimerId id) -> void;

    /// Cancels every timer. Their tasks are dropped with the context.
    auto dropAll() -> void;

private:
    using Timer = std::shared_ptr<boost::asio::steady_timer>;

    /// Removes a timer that has come due; false when it was cancelled first.
    [[nodiscard]] auto take(TimerId id) -> bool;

    boost::asio::io_context &context;
    RankedMutex mutex{LockRank::Scheduler};
    TimerId lastId ABSL_GUARDED_BY(mutex) = 0;
    std::map<TimerId, Timer> timers ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail::detail

#endif
