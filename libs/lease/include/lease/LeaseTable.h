#ifndef AUBURNRAIL_LEASE_LEASETABLE_H
#define AUBURNRAIL_LEASE_LEASETABLE_H

#include <lease/InForceCallback.h>
#include <lease/LeaseCensus.h>
#include <lease/LeaseGrant.h>
#include <lease/LeaseId.h>
#include <lease/LeaseTableHooks.h>

#include <core/RankedMutex.h>
#include <core/Revision.h>
#include <core/Time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace auburnrail {

/// Leases granted by the control leader. A revision is in force once the holder of every live lease
/// has reported it or a later one. Thread-safe; callbacks run on the calling thread without the
/// mutex held.
class LeaseTable
{
public:
    /// Ended leases of which the holders are kept.
    static constexpr auto MAX_ENDED_HOLDERS = std::size_t(1024);

    explicit LeaseTable(LeaseTableHooks hooks);

    /// Starts granting leases. `committed` must be at least every revision committed so far: the
    /// previous leader may have reported it in force, so no lease may be used at a lower one.
    /// Leases of the previous leader are unknown to this table and count as live for
    /// LEASE_LIVE_DURATION.
    auto beginLeadership(Revision committed, TimePoint now) -> void;

    /// Stops granting leases and calls every waiting callback with false.
    auto endLeadership() -> void;

    /// Grants or renews the lease of an instance whose heartbeat reports `revision`. `now` must be
    /// read after the heartbeat arrived. For a response that is held back (long polling), call this
    /// when the response is sent.
    [[nodiscard]] auto renew(const LeaseId &id, Revision revision, TimePoint now) -> LeaseGrant;

    /// Whether every instance that may serve at `now` has applied the committed `revision`. Once
    /// true, no lease is usable at a lower revision.
    [[nodiscard]] auto isInForce(Revision revision, TimePoint now) -> bool;

    /// Calls `callback` from renew() or advance() once `revision`, which must be committed, is in
    /// force. Calls it immediately with false when this member does not lead.
    auto whenInForce(Revision revision, InForceCallback callback) -> void;

    /// Removes expired leases and calls the callbacks whose revision is now in force.
    auto advance(TimePoint now) -> void;

    /// Earliest time at which advance() can have an effect; nothing when no lease is live.
    [[nodiscard]] auto nextExpiry(TimePoint now) const -> std::optional<TimePoint>;

    /// The live leases; nothing while leases of the previous leader may be live, which this table
    /// doesn't know, or when this member does not lead.
    [[nodiscard]] auto census(TimePoint now) -> std::optional<LeaseCensus>;

    /// Number of leases in the table, including expired ones that have not been removed yet.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Row
    {
        Revision reported = 0;   ///< Last revision that the instance reported.
        Revision usableFrom = 0; ///< The lease is not usable at a lower revision.
        TimePoint expiresAt{};
    };

    using Rows = std::map<LeaseId, Row>;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto dropExpired(TimePoint now) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto addEnded(const LeaseId &id, TimePoint at) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto removeEnded(const LeaseId &id) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto removeFromIndexes(Rows::iterator row) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto addToIndexes(Rows::iterator row) -> void;

    /// Whether the revision is in force, provided that this member still has a quorum.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto allLeasesReach(Revision revision, TimePoint now) const -> bool;

    /// Removes and returns the callbacks whose revision is in force, and raises the floor to it.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto takeInForce(TimePoint now) -> std::vector<InForceCallback>;

    LeaseTableHooks hooks;
    mutable RankedMutex mutex{LockRank::LeaseTable};
    bool leading ABSL_GUARDED_BY(mutex) = false;
    TimePoint earlierLeasesEnd
        ABSL_GUARDED_BY(mutex){};              ///< When leases of the previous leader have expired.
    Revision floor ABSL_GUARDED_BY(mutex) = 0; ///< No lease may be used at a lower revision.
    Rows rows ABSL_GUARDED_BY(mutex);
    /// When the leases of holders that have none now have expired, of the most recent ones.
    std::map<LeaseId, TimePoint> ended ABSL_GUARDED_BY(mutex);
    std::set<std::pair<TimePoint, LeaseId>> endedOrder ABSL_GUARDED_BY(mutex);
    /// When the last lease has expired that isn't in `ended`.
    std::optional<TimePoint> earlierExpiry ABSL_GUARDED_BY(mutex);
    std::set<std::pair<TimePoint, const LeaseId *>> expiries ABSL_GUARDED_BY(mutex);
    std::map<Revision, std::size_t>
        leaseCounts ABSL_GUARDED_BY(mutex); ///< Leases by Row::usableFrom.
    std::multimap<Revision, InForceCallback> waiting ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
