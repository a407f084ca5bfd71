#ifndef AUBURNRAIL_FAILOVER_FAILOVERLIMITS_H
#define AUBURNRAIL_FAILOVER_FAILOVERLIMITS_H

#include <lease/LeaseTiming.h>

#include <core/Time.h>

#include <cstddef>

namespace auburnrail {

/// Durations and limits of failover detection and of the failover steps.
struct FailoverLimits
{
    /// A report counts once the entry has suspected the primary for this long.
    Duration suspicionThreshold = std::chrono::seconds(1);
    Duration reportLifetime = std::chrono::milliseconds(1500); ///< Older reports are dropped.
    /// Time from the first report against a group's primary to a decision. The first report makes
    /// every entry report, so that those of entries that reach the primary arrive in this time.
    Duration confirmationDelay = std::chrono::milliseconds(600);
    /// The first primary of a group is chosen once the group has been unchanged for this long.
    Duration initialSettleTime = std::chrono::seconds(2);
    /// Planned promotion: how long to wait for the requested endpoint to catch up.
    Duration catchUpLimit = std::chrono::seconds(1);
    /// With synchronous replicas: how long an entry may acknowledge commits of the old term after
    /// it has confirmed the new one, on the leader's clock. Meanwhile the replicas receive them.
    Duration acknowledgementGrace = ACKNOWLEDGEMENT_GRACE * (100 + LEASE_DRIFT_PERCENT) / 100;
    /// With synchronous replicas: how long to wait, once nothing more is acknowledged, for the
    /// positions up to which the entries have acknowledged.
    Duration acknowledgedReportWait = std::chrono::milliseconds(500);
    /// Pause after a planned promotion that left the old primary in place.
    Duration plannedRetryDelay = std::chrono::seconds(1);
    /// With synchronous replicas: how long to wait for the fence responses of all replicas after a
    /// majority has responded.
    Duration replicaFenceWait = std::chrono::milliseconds(500);
    /// A wait for evidence is reported once it has lasted for so long: responses of fences and
    /// reports of entries take a part of it in every failover.
    Duration evidenceWaitNotice = std::chrono::milliseconds(500);
    Duration evidenceWaitInterval = std::chrono::seconds(5); ///< Then it is reported again.
    Duration callTimeout = std::chrono::seconds(1); ///< A step without a response is retried.
    Duration retryInitial = std::chrono::milliseconds(50);
    Duration retryMaximum = std::chrono::seconds(1);
    std::size_t maxPromoteTries = 2; ///< Then a new term is granted and the group is fenced again.
    /// Orders to follow that are sent at once; others wait for the next tick.
    std::size_t maxFollowsPerTick = 16;
    std::size_t maxReporters = 64; ///< Maximum number of reporting entries per group.
    std::size_t maxPhases = 64;    ///< Maximum number of phases in a record.

    /// Pause before the next try, after this number of them.
    [[nodiscard]] auto retryDelay(std::size_t tries) const -> Duration;
};

} // namespace auburnrail

#endif
