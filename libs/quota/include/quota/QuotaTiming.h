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

    /// How long a holder may use a token that the ledger granted by itself, counted from when it
    /// sent the request. Several round trips between regions; the longer, the less of the burst is
    /// left while tokens are under way.
    Duration tokenLifetime = std::chrono::milliseconds(500);

    /// Upper bound on the relative difference between the rates of any two clocks. The ledger waits
    /// longer by this fraction before it reclaims shares of unresponsive holders, and holders fill
    /// their token buckets more slowly by it, since a fast clock would otherwise admit more than
    /// the organisation's rate.
    double clockRateMargin = 0.05;

    /// Time after a renewal by which the lease has ended on any clock.
    [[nodiscard]] auto leaseWait() const -> Duration
    {
        return this->withMargin(this->leaseDuration);
    }

    /// Time after the grant of a token by which it has expired on any clock.
    [[nodiscard]] auto tokenWait() const -> Duration
    {
        return this->withMargin(this->tokenLifetime);
    }

    /// Time that has passed on every clock when `length` has passed on one.
    [[nodiscard]] auto withoutMargin(Duration length) const -> Duration
    {
        const auto nanos = static_cast<double>(length.count());
        return Duration(static_cast<Duration::rep>(nanos / (1.0 + this->clockRateMargin)));
    }

    /// Time after which `length` has passed on any clock.
    [[nodiscard]] auto withMargin(Duration length) const -> Duration
    {
        const auto nanos = static_cast<double>(length.count());
        return Duration(static_cast<Duration::rep>(nanos * (1.0 + this->clockRateMargin)) + 1);
    }
};

} // namespace auburnrail

#endif
