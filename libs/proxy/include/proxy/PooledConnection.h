#ifndef AUBURNRAIL_PROXY_POOLEDCONNECTION_H
#define AUBURNRAIL_PROXY_POOLEDCONNECTION_H

#include <proxy/ServerOutcome.h>
#include <proxy/ServerRequest.h>
#include <proxy/ServerSession.h>

#include <request/ConnectionHandle.h>

#include <core/Time.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace auburnrail {

/// A connection to a server, leased to one session at a time.
struct PooledConnection
{
    /// Receives the outcome of a request; called once.
    using Done = std::function<auto(ServerOutcome)->void>;

    ConnectionHandle handle;
    bool isPrimary = false; ///< According to the fleet state when the connection was leased.
    std::uint64_t term = 0; ///< Term of the group when the connection was leased.
    ServerSession session;
    std::atomic<bool> carriedRequest = false; ///< Set by `exchange`.

    /// Sends a request. At most one request may be in progress at a time. After any phase other
    /// than Responded the connection is closed. `done` may run on any thread.
    std::function<auto(const ServerRequest &request, Duration timeLimit, Done done)->void> exchange;

    /// Closes the connection.
    std::function<auto()->void> close;

    /// Set for a connection that another entry holds: ends the lease there. A connection that is
    /// not `reusable` is closed.
    std::function<auto(bool reusable)->void> giveBack;
};

using PooledConnectionPointer = std::shared_ptr<PooledConnection>;

} // namespace auburnrail

#endif
