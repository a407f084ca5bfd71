#ifndef AUBURNRAIL_REQUEST_CONNECTIONPOOLHOOKS_H
#define AUBURNRAIL_REQUEST_CONNECTIONPOOLHOOKS_H

#include <request/ConnectionHandle.h>
#include <request/WaiterQueue.h>

#include <functional>

namespace auburnrail {

/// Side effects of a ConnectionPool, called without holding its mutex.
struct ConnectionPoolHooks
{
    /// Opens a connection, then calls ConnectionPool::opened() or openFailed().
    std::function<auto(const ConnectionHandle &handle)->void> open;
    std::function<auto(const ConnectionHandle &handle)->void> close;
    /// Creates the waiter queue of an endpoint. Default: a FIFO of DEFAULT_WAITER_LIMIT waiters.
    std::function<auto()->WaiterQueue> makeQueue;
};

} // namespace auburnrail

#endif
