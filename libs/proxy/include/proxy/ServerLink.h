#ifndef AUBURNRAIL_PROXY_SERVERLINK_H
#define AUBURNRAIL_PROXY_SERVERLINK_H

#include <proxy/ServerOutcome.h>
#include <proxy/ServerRequest.h>
#include <proxy/ServerSession.h>

#include <request/ConnectionHandle.h>

#include <core/Time.h>

#include <functional>
#include <memory>
#include <string>

namespace auburnrail {

/// A connection to a server, leased to one session at a time.
struct ServerLink
{
    /// Gets the end of a request, once.
    using Done = std::function<auto(ServerOutcome)->void>;

    ConnectionHandle handle;
    bool isPrimary = false; ///< By the fleet state, when it was leased.
    std::uint64_t term = 0; ///< Of the group, when it was leased.
    ServerSession session;

    /// Sends a request. At most one is under way at a time. After any phase but Answered the
    /// connection is closed. `done` may run on any thread.
    std::function<auto(const ServerRequest &request, Duration timeLimit, Done done)->void> exchange;

    /// Ends the connection.
    std::function<auto()->void> close;
};

using ServerLinkPointer = std::shared_ptr<ServerLink>;

} // namespace auburnrail

#endif
