#ifndef AUBURNRAIL_LEASE_LEASEHOLDER_H
#define AUBURNRAIL_LEASE_LEASEHOLDER_H

#include <lease/HeartbeatTicket.h>
#include <lease/LeaseGrant.h>

#include <core/RankedMutex.h>
#include <core/Revision.h>
#include <core/Time.h>

namespace auburnrail {

/// An entry's own lease. Order for a reply: apply its changes to the entry's copy of the state,
/// call setRevision(), then completeHeartbeat(). Safe from any thread.
class LeaseHolder
{
public:
    /// To be called directly before a heartbeat is sent, which names the ticket's revision.
    [[nodiscard]] auto beginHeartbeat(TimePoint now) -> HeartbeatTicket;

    /// Takes the grant of the reply. False, with no effect, when it grants nothing that this entry
    /// may use: not granted, expired already, or the entry is behind its minimum revision.
    [[nodiscard]] auto completeHeartbeat(const HeartbeatTicket &ticket, const LeaseGrant &grant,
                                         TimePoint now) -> bool;

    /// Whether this entry may serve what depends on shared state. `now` must be fresh: a process
    /// that was frozen finds out here.
    [[nodiscard]] auto holds(TimePoint now) const -> bool;

    /// End of the lease by this entry's clock; in the past when there is none.
    [[nodiscard]] auto heldUntil() const -> TimePoint;

    /// Revision that this entry has applied; never goes down.
    [[nodiscard]] auto revision() const -> Revision;
    auto setRevision(Revision applied) -> void;

private:
    mutable RankedMutex mutex{LockRank::LeaseHolder};
    TimePoint leaseEnd ABSL_GUARDED_BY(mutex){};
    Revision appliedRevision ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace auburnrail

#endif
