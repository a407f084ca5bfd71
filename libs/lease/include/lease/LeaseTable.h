#ifndef AUBURNRAIL_LEASE_LEASETABLE_H
#define AUBURNRAIL_LEASE_LEASETABLE_H

#include <lease/AcceptanceCallback.h>
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

/// The leases that the control leader has granted, and which revisions are in force because every
/// live lease names them or later ones. Safe from any thread; callbacks run on the caller's thread
/// without the mutex.
class LeaseTable
{
public:
    explicit LeaseTable(LeaseTableHooks hooks);

    /// Starts granting. `committed` must not be lower than any revision committed so far: the
    /// earlier leader may have found it in force, so no lease may name a lower one. Leases of the
    /// earlier leader, which are unknown here, count as live for LEASE_LIVE_DURATION.
    auto beginLeadership(Revision committed, TimePoint now) -> void;

    /// Stops granting and ends every waiting callback with false.
    auto endLeadership() -> void;

    /// Grants or renews the lease of one instance whose heartbeat names `revision`. `now` must be
    /// read after the heartbeat arrived; a reply held back is renewed when it is sent.
    [[nodiscard]] auto renew(const LeaseId &id, Revision revision, TimePoint now) -> LeaseGrant;

    /// Whether every instance that may serve at `now` has applied the committed `revision`. Once
    /// true, no later lease names a lower one.
    [[nodiscard]] auto isInForce(Revision revision, TimePoint now) -> bool;

    /// Calls `callback` from renew() or advance() when `revision`, which must be committed, is in
    /// force.
    auto whenInForce(Revision revision, AcceptanceCallback callback) -> void;

    /// Drops expired leases and calls what waited for them.
    auto advance(TimePoint now) -> void;

    /// When advance() may next have an effect by the passing of time; nothing when no lease is
    /// live.
    [[nodiscard]] auto nextExpiry(TimePoint now) const -> std::optional<TimePoint>;

    /// Number of leases that have not been dropped.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Row
    {
        Revision named = 0;    ///< Last revision that the instance named.
        Revision revision = 0; ///< The lease is not usable below this one.
        TimePoint expiresAt{};
    };

    using Rows = std::map<LeaseId, Row>;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto dropExpired(TimePoint now) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto unlink(Rows::iterator row) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto link(Rows::iterator row) -> void;

    /// Whether the revision is in force, given that a majority answers.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto isNamedByAll(Revision revision, TimePoint now) const -> bool;

    /// Takes the callbacks whose revision is in force and raises the floor to it.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto takeAccepted(TimePoint now) -> std::vector<AcceptanceCallback>;

    LeaseTableHooks hooks;
    mutable RankedMutex mutex{LockRank::LeaseTable};
    bool leading ABSL_GUARDED_BY(mutex) = false;
    TimePoint unknownUntil ABSL_GUARDED_BY(mutex){}; ///< Leases of the earlier leader end here.
    Revision floor ABSL_GUARDED_BY(mutex) = 0;       ///< No lease may name a lower revision.
    Rows rows ABSL_GUARDED_BY(mutex);
    std::set<std::pair<TimePoint, const LeaseId *>> expiries ABSL_GUARDED_BY(mutex);
    std::map<Revision, std::size_t> leasesAt ABSL_GUARDED_BY(mutex); ///< Live leases by revision.
    std::multimap<Revision, AcceptanceCallback> waiting ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
