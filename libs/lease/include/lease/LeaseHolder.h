#ifndef AUBURNRAIL_LEASE_LEASEHOLDER_H
#define AUBURNRAIL_LEASE_LEASEHOLDER_H

#include <lease/HeartbeatTicket.h>
#include <lease/LeaseGrant.h>

#include <core/RankedMutex.h>
#include <core/Revision.h>
#include <core/Time.h>

namespace auburnrail {

/// An entry's own lease. To process a heartbeat response, apply its changes to the entry's copy of
/// the state, call setRevision(), then completeHeartbeat(). Thread-safe.
class LeaseHolder
{
public:
    /// Call immediately before sending a heartbeat, which reports the ticket's revision.
    [[nodiscard]] auto beginHeartbeat(TimePoint now) -> HeartbeatTicket;

    /// Applies the grant of a heartbeat response. Returns false, with no effect, when this entry
    /// may not use it: not granted, already expired, or the entry is behind its minimum revision.
    [[nodiscard]] auto completeHeartbeat(const HeartbeatTicket &ticket, const LeaseGrant &grant,
                                         TimePoint now) -> bool;

    /// Whether this entry may serve requests that depend on replicated state. Read the clock for
    /// `now` right before the call, so that a process resuming after a freeze sees its lease
    /// expired.
    [[nodiscard]] auto holds(TimePoint now) const -> bool;

    /// End of the lease on this entry's clock; in the past when no lease is held.
    [[nodiscard]] auto heldUntil() const -> TimePoint;

    /// Latest revision that this entry has applied; never decreases.
    [[nodiscard]] auto revision() const -> Revision;
    auto setRevision(Revision applied) -> void;

private:
    mutable RankedMutex mutex{LockRank::LeaseHolder};
    TimePoint leaseEnd ABSL_GUARDED_BY(mutex){};
    Revision appliedRevision ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace auburnrail

#endif
