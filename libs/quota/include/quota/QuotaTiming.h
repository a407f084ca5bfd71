#ifndef AUBURNRAIL_QUOTA_QUOTATIMING_H
#define AUBURNRAIL_QUOTA_QUOTATIMING_H

#include <core/Time.h>

namespace auburnrail {

/// Timing parameters, which must be equal in holders and the ledger.
struct QuotaTiming
{
    /// How long a holder may use its shares, counted from when it sent the report that they were
    /// granted for.
    Duration leaseDuration = std::chrono::seconds(2);

    /// Upper bound on the relative difference between the rates of any two clocks. The ledger waits
    /// longer by this fraction before it reclaims shares of unresponsive holders, and holders fill
    /// their token buckets more slowly by it, since a fast clock would otherwise admit more than
    /// the organisation's rate.
    double clockRateMargin = 0.05;

    /// Time after a renewal by which the lease has ended on any clock.
    [[nodiscard]] auto leaseWait() const -> Duration
    {
        const auto nanos = static_cast<double>(this->leaseDuration.count());
        return Duration(static_cast<Duration::rep>(nanos * (1.0 + this->clockRateMargin)) + 1);
    }
};

} // namespace auburnrail

#endif
