#ifndef AUBURNRAIL_LEASE_LEASEGATE_H
#define AUBURNRAIL_LEASE_LEASEGATE_H

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <absl/base/thread_annotations.h>

#include <cstddef>
#include <functional>
#include <map>

namespace auburnrail {

/// Lets callers wait for an entry's lease while one is likely to be granted soon. This covers a
/// restart of the whole fleet, when callers reconnect before control has elected a leader. An entry
/// that has been without a lease for longer is assumed to be disconnected from control, and its
/// callers are refused immediately. Thread-safe.
class LeaseGate
{
public:
    using Done = std::function<auto(bool held)->void>;

    /// Covers an election, which takes up to 2 s right after members start, and a heartbeat, which
    /// takes about 100 ms.
    static constexpr auto EXPECTED_WITHIN_MS = std::chrono::milliseconds(2500);
    static constexpr auto MAX_WAITERS = std::size_t(4096);

    /// The entry holds no lease at `startedAt`.
    explicit LeaseGate(TimePoint startedAt);

    /// Calls `done` with true when the lease is granted, or with false at `deadline` or once no
    /// lease is expected any more. Call only while no lease is held.
    auto await(TimePoint deadline, TimePoint now, Done done) -> void;

    /// Completes all waits with true. Call when a lease was granted or renewed.
    auto granted() -> void;

    /// Completes the waits whose deadline has passed with false.
    auto advance(TimePoint now) -> void;

private:
    RankedMutex mutex{LockRank::LeaseGate};
    TimePoint missingSince
        ABSL_GUARDED_BY(mutex); ///< Start of the current or latest period without a lease.
    bool missing ABSL_GUARDED_BY(mutex) = true; ///< No grant since that period was detected.
    std::multimap<TimePoint, Done> waiters ABSL_GUARDED_BY(mutex); ///< By deadline.
};

} // namespace auburnrail

#endif
