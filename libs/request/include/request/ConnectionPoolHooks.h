#ifndef AUBURNRAIL_REQUEST_CONNECTIONPOOLHOOKS_H
#define AUBURNRAIL_REQUEST_CONNECTIONPOOLHOOKS_H

#include <request/ConnectionHandle.h>
#include <request/WaiterQueue.h>

#include <functional>

namespace auburnrail {

/// Effects of a ConnectionPool, called without its mutex.
struct ConnectionPoolHooks
{
    /// Opens a connection, then calls ConnectionPool::opened() or openFailed().
    std::function<auto(const ConnectionHandle &handle)->void> open;
    std::function<auto(const ConnectionHandle &handle)->void> close;
    /// Makes the queue of one endpoint; without it, a FIFO of DEFAULT_WAITER_LIMIT.
    std::function<auto()->WaiterQueue> makeQueue;
};

} // namespace auburnrail

#endif
