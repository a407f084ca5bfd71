#ifndef AUBURNRAIL_PROXY_SERVERCONNECTIONPOOLHOOKS_H
#define AUBURNRAIL_PROXY_SERVERCONNECTIONPOOLHOOKS_H

#include <request/ConnectionHandle.h>

#include <functional>
#include <string>

namespace auburnrail {

/// Effects of a ServerConnectionPool, called without holding its mutex.
struct ServerConnectionPoolHooks
{
    /// Opens a connection on behalf of the organisation, then calls ServerConnectionPool::opened()
    /// or openFailed().
    std::function<auto(const ConnectionHandle &handle, const std::string &organisation)->void> open;
    std::function<auto(const ConnectionHandle &handle)->void> close;
};

} // namespace auburnrail

#endif
