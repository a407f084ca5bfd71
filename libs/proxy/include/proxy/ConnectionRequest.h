#ifndef AUBURNRAIL_PROXY_CONNECTIONREQUEST_H
#define AUBURNRAIL_PROXY_CONNECTIONREQUEST_H

#include <proxy/Placement.h>
#include <proxy/StatementRequest.h>

#include <core/Time.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// A request for a connection to a server.
struct ConnectionRequest
{
    std::string endpoint;
    std::string organisation; ///< A connection belongs to one organisation until it is closed.
    /// A status request may use an idle connection of any organisation. It gets none if that would
    /// close another connection or exceed the limit: what is in use shows the server's state.
    bool anyOrganisation = false;
    std::uint32_t priority = 0; ///< Lower values are served first.
    TimePoint objectiveEnd;     ///< A later response misses the latency objective.
    TimePoint deadline;
    bool opensTransaction = false; ///< The connection is kept until the transaction ends.
};

/// The connection that a statement needs at the server chosen for it.
[[nodiscard]] auto connectionRequestFor(const Placement &placement, const StatementRequest &request)
    -> ConnectionRequest;

} // namespace auburnrail

#endif
