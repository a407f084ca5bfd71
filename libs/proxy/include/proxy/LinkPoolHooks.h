#ifndef AUBURNRAIL_PROXY_LINKPOOLHOOKS_H
#define AUBURNRAIL_PROXY_LINKPOOLHOOKS_H

#include <request/ConnectionHandle.h>

#include <functional>
#include <string>

namespace auburnrail {

/// Effects of a LinkPool, called without its mutex.
struct LinkPoolHooks
{
    /// Opens a connection on behalf of the organisation, then calls LinkPool::opened() or
    /// openFailed().
    std::function<auto(const ConnectionHandle &handle, const std::string &organisation)->void> open;
    std::function<auto(const ConnectionHandle &handle)->void> close;
};

} // namespace auburnrail

#endif
