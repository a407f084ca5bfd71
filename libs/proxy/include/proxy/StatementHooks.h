#ifndef AUBURNRAIL_PROXY_STATEMENTHOOKS_H
#define AUBURNRAIL_PROXY_STATEMENTHOOKS_H

#include <proxy/AwaitLease.h>
#include <proxy/Placement.h>
#include <proxy/PlacementRequest.h>
#include <proxy/PooledConnection.h>
#include <proxy/StatementRequest.h>

#include <core/Executor.h>
#include <core/Position.h>

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>

namespace auburnrail {

/// Functions that the entry provides to a StatementRun.
struct StatementHooks
{
    /// The executor of the session, which runs tasks one at a time.
    Executor executor;

    std::function<auto(TimePoint now)->bool> holdsLease;

    /// Whether the connection's server is the primary of the group in the term in which the
    /// connection was leased, according to the fleet state that this entry has applied.
    std::function<auto(const std::string &group, const PooledConnection &connection)->bool>
        isCurrentPrimary;

    /// For an entry without a lease: calls `done` with true when it holds one, or with false when
    /// the deadline passes or no lease is expected.
    AwaitLease awaitLease;

    std::function<auto(const PlacementRequest &request, TimePoint now)->std::optional<Placement>>
        place;

    /// Whether a transaction may go on at the server. May be empty: it always may.
    std::function<auto(const std::string &endpoint, TimePoint now)->bool> mayContinueAt;

    /// Whether the group has no primary, and none is expected soon: its failover waits for a
    /// server's log. What needs the primary is refused at once. May be empty: never.
    std::function<auto(const std::string &group)->bool> isAwaitingEvidence;

    /// Whether nothing may be sent to the group's primary and no other server is about to take
    /// over. May be empty: that never happens.
    std::function<auto(const std::string &group, TimePoint now)->bool> isOutOfService;

    /// Leases a connection to the server of `placement`. Errors: `kDeadlineExceeded` when none can
    /// be had in time, `kResourceExhausted` when too many statements wait, `kUnavailable` when none
    /// could be opened.
    std::function<auto(const Placement &placement, const StatementRequest &request,
                       std::function<auto(absl::StatusOr<PooledConnectionPointer>)->void> done)
                      ->void>
        lease;

    /// Ends the lease. A connection that is not reusable is closed.
    std::function<auto(const PooledConnectionPointer &connection, bool reusable)->void> release;

    /// Calls `decide`, by which the run decides whether it acknowledges a write that the server has
    /// completed, and returns its result. May be empty.
    std::function<auto(const std::string &group, std::optional<Position> position,
                       const std::function<auto()->bool> &decide)
                      ->bool>
        acknowledge;

    /// Records what a response, or the lack of one, tells about the server.
    std::function<auto(const PooledConnection &connection, const ServerOutcome &outcome)->void>
        observe;
};

} // namespace auburnrail

#endif
