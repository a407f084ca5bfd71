#ifndef AUBURNRAIL_REQUEST_WAITERQUEUE_H
#define AUBURNRAIL_REQUEST_WAITERQUEUE_H

#include <request/ConnectionWaiter.h>

#include <core/Time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace auburnrail {

/// Queueing policy: the order in which the waiters of one endpoint get connections. The pool calls
/// these hooks with its mutex held, so they must not lock a mutex of a lower rank or call back.
struct WaiterQueue
{
    /// False when the queue is full.
    std::function<auto(const ConnectionWaiter &waiter, TimePoint now)->bool> push;
    /// Removes and returns the next waiter.
    std::function<auto(TimePoint now)->std::optional<std::uint64_t>> pop;
    /// Removes a waiter that has stopped waiting.
    std::function<auto(std::uint64_t id)->void> remove;
};

/// First in, first out, at most `limit` waiters.
[[nodiscard]] auto makeFifoWaiterQueue(std::size_t limit) -> WaiterQueue;

} // namespace auburnrail

#endif
