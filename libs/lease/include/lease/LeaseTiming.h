#ifndef AUBURNRAIL_LEASE_LEASETIMING_H
#define AUBURNRAIL_LEASE_LEASETIMING_H

#include <core/Time.h>

namespace auburnrail {

/// How long a holder may use a lease, on its own clock, counted from when it sent the heartbeat.
constexpr auto LEASE_DURATION = Duration(std::chrono::seconds(2));

/// Extra time that the leader waits beyond the lease duration, as a percentage of it, because the
/// rates of the two clocks may differ by up to 4%.
constexpr auto LEASE_DRIFT_PERCENT = 5;

/// How long the leader counts a lease as live, from when it granted the lease.
constexpr auto LEASE_LIVE_DURATION = LEASE_DURATION * (100 + LEASE_DRIFT_PERCENT) / 100;

/// Part of a duration on one clock that has passed on every other clock, too.
constexpr auto withoutDrift(Duration length) -> Duration
{
    return length * (100 - LEASE_DRIFT_PERCENT) / 100;
}

/// How long after sending a commit to a server an entry may still acknowledge it although its lease
/// or the primary's term has ended in the meantime. Covers a commit between regions.
constexpr auto ACKNOWLEDGEMENT_GRACE = Duration(std::chrono::milliseconds(150));

} // namespace auburnrail

#endif
