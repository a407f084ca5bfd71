#ifndef AUBURNRAIL_LEASE_LEASEGATE_H
#define AUBURNRAIL_LEASE_LEASEGATE_H

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <absl/base/thread_annotations.h>

#include <cstddef>
#include <functional>
#include <map>

namespace auburnrail {

/// Lets callers wait for an entry's lease where one is likely to come. Load pattern: the whole
/// fleet restarts, and callers are back before control has a leader. An entry that has been without
/// a lease for long is cut off, and its callers are refused at once. Safe from any thread.
class LeaseGate
{
public:
    using Done = std::function<auto(bool held)->void>;

    /// An election takes up to 2 s when members have just started, and a heartbeat some 100 ms.
    static constexpr auto EXPECTED_WITHIN_MS = std::chrono::milliseconds(2500);
    static constexpr auto MAX_WAITERS = std::size_t(4096);

    /// An entry starts without a lease.
    explicit LeaseGate(TimePoint startedAt);

    /// Calls `done` when the lease is granted, or with false at `deadline` or when no lease is
    /// likely to come. To be called when no lease is held.
    auto await(TimePoint deadline, TimePoint now, Done done) -> void;

    /// A lease was granted or renewed.
    auto granted() -> void;

    /// Ends waits whose deadline has passed.
    auto advance(TimePoint now) -> void;

private:
    RankedMutex mutex{LockRank::LeaseGate};
    TimePoint missingSince ABSL_GUARDED_BY(mutex); ///< Of the present or the latest gap.
    bool missing ABSL_GUARDED_BY(mutex) = true;    ///< No grant since the gap was noticed.
    std::multimap<TimePoint, Done> waiters ABSL_GUARDED_BY(mutex); ///< By deadline.
};

} // namespace auburnrail

#endif
