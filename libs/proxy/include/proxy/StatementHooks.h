#ifndef AUBURNRAIL_PROXY_STATEMENTHOOKS_H
#define AUBURNRAIL_PROXY_STATEMENTHOOKS_H

#include <proxy/AwaitLease.h>
#include <proxy/Placement.h>
#include <proxy/PlacementRequest.h>
#include <proxy/ServerLink.h>
#include <proxy/StatementOrder.h>

#include <core/Executor.h>

#include <absl/status/statusor.h>

#include <functional>
#include <optional>

namespace auburnrail {

/// What a StatementRun needs from the tables of its entry.
struct StatementHooks
{
    /// Runs tasks one at a time, between those of the session.
    Executor executor;

    std::function<auto(TimePoint now)->bool> holdsLease;

    /// For an entry without a lease: calls `done` when it has one, or with false when the deadline
    /// passes or none is likely to come.
    AwaitLease awaitLease;

    std::function<auto(const PlacementRequest &request, TimePoint now)->std::optional<Placement>>
        place;

    /// Leases a connection to the placement's server. Errors: `kResourceExhausted` when none was
    /// free in time, `kUnavailable` when none could be opened.
    std::function<auto(const Placement &placement, const StatementOrder &order,
                       std::function<auto(absl::StatusOr<ServerLinkPointer>)->void> done)
                      ->void>
        lease;

    /// Ends the lease; a connection that is not reusable is closed.
    std::function<auto(const ServerLinkPointer &link, bool reusable)->void> release;

    /// Tells what an answer or a missing one says of the server.
    std::function<auto(const ServerLink &link, const ServerOutcome &outcome)->void> observe;
};

} // namespace auburnrail

#endif
