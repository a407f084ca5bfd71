#ifndef AUBURNRAIL_QUOTA_QUOTATIMING_H
#define AUBURNRAIL_QUOTA_QUOTATIMING_H

#include <core/Time.h>

namespace auburnrail {

/// Times that holders and the ledger must agree on.
struct QuotaTiming
{
    /// A holder uses its shares for this long after it sent the report that was answered.
    Duration leaseDuration = std::chrono::seconds(2);

    /// The rates of any two clocks differ by less than this part. The ledger waits longer for
    /// silent holders by it, and holders fill their buckets more slowly by it: a fast clock would
    /// otherwise admit more than the organisation's rate.
    double clockRateMargin = 0.05;

    /// Time after which a lease that was renewed earlier has surely ended, on any clock.
    [[nodiscard]] auto leaseWait() const -> Duration
    {
        const auto nanos = static_cast<double>(this->leaseDuration.count());
        return Duration(static_cast<Duration::rep>(nanos * (1.0 + this->clockRateMargin)) + 1);
    }
};

} // namespace auburnrail

#endif
