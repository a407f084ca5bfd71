#ifndef AUBURNRAIL_REQUEST_WAITERQUEUE_H
#define AUBURNRAIL_REQUEST_WAITERQUEUE_H

#include <request/ConnectionWaiter.h>

#include <core/Time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace auburnrail {

/// Order in which waiters of one endpoint get connections. The pool calls these with its mutex
/// held, so they lock nothing of a lower rank and call nothing back.
struct WaiterQueue
{
    /// False when the queue is full.
    std::function<auto(const ConnectionWaiter &waiter, TimePoint now)->bool> push;
    /// Removes and returns the next waiter.
    std::function<auto(TimePoint now)->std::optional<std::uint64_t>> pop;
    /// Removes a waiter that gave up.
    std::function<auto(std::uint64_t id)->void> remove;
};

/// First in, first out, at most `limit` waiters.
[[nodiscard]] auto makeFifoWaiterQueue(std::size_t limit) -> WaiterQueue;

} // namespace auburnrail

#endif
