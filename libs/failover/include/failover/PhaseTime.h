#ifndef AUBURNRAIL_FAILOVER_PHASETIME_H
#define AUBURNRAIL_FAILOVER_PHASETIME_H

#include <failover/FailoverPhase.h>

#include <core/Time.h>

#include <cstdint>

namespace auburnrail {

/// When a failover entered a phase.
struct PhaseTime
{
    FailoverPhase phase = FailoverPhase::Watching;
    std::uint64_t term = 0; ///< Term of the attempt; a later one starts with GrantingTerm again.
    TimePoint startedAt;
};

} // namespace auburnrail

#endif
