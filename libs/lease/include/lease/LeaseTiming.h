#ifndef AUBURNRAIL_LEASE_LEASETIMING_H
#define AUBURNRAIL_LEASE_LEASETIMING_H

#include <core/Time.h>

namespace auburnrail {

/// How long a holder may use a lease, by its own clock and from its own send time.
constexpr auto LEASE_DURATION = Duration(std::chrono::seconds(2));

/// Part of the duration that the leader waits longer than the holder, because their clocks may run
/// at rates that differ by up to 4%.
constexpr auto LEASE_DRIFT_PERCENT = 5;

/// How long the leader counts a lease as live, from its reply time.
constexpr auto LEASE_LIVE_DURATION = LEASE_DURATION * (100 + LEASE_DRIFT_PERCENT) / 100;

} // namespace auburnrail

#endif
