#ifndef AUBURNRAIL_FAILOVER_PHASETIME_H
#define AUBURNRAIL_FAILOVER_PHASETIME_H

#include <failover/FailoverPhase.h>

#include <core/Time.h>

#include <cstdint>

namespace auburnrail {

/// A phase of a failover and the time at which it started.
struct PhaseTime
{
    FailoverPhase phase = FailoverPhase::Watching;
    std::uint64_t term = 0; ///< Term of the attempt; a new term restarts at GrantingTerm.
    TimePoint startedAt;
};

} // namespace auburnrail

#endif
