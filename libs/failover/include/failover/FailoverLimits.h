#ifndef AUBURNRAIL_FAILOVER_FAILOVERLIMITS_H
#define AUBURNRAIL_FAILOVER_FAILOVERLIMITS_H

#include <core/Time.h>

#include <cstddef>

namespace auburnrail {

/// Times of failover detection and of the steps.
struct FailoverLimits
{
    Duration suspicionHold = std::chrono::seconds(1); ///< A report counts once it is this old.
    Duration reportLifetime = std::chrono::milliseconds(1500); ///< Older reports don't count.
    /// Time from the first suspicion of a group to a decision. Entries report at least every 500
    /// ms, so that reports of healthy entries have arrived by then.
    Duration reportRound = std::chrono::milliseconds(600);
    Duration initialSettle = std::chrono::seconds(2); ///< Endpoints of a new group unchanged.
    Duration catchUpLimit = std::chrono::seconds(1);  ///< Planned: wait for the wanted endpoint.
    /// With synchronous replicas: wait for the fences of all of them, beyond the majority.
    Duration replicaWait = std::chrono::milliseconds(500);
    Duration callTimeout = std::chrono::seconds(1); ///< A step without an answer is repeated.
    Duration retryInitial = std::chrono::milliseconds(50);
    Duration retryMaximum = std::chrono::seconds(1);
    std::size_t promoteTries = 2;  ///< Then a fresh term is granted and the group fenced again.
    std::size_t maxReporters = 64; ///< Entries whose reports are kept for one group.
    std::size_t maxPhases = 64;    ///< Phases kept in one record.
};

} // namespace auburnrail

#endif
