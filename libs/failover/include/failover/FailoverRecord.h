#ifndef AUBURNRAIL_FAILOVER_FAILOVERRECORD_H
#define AUBURNRAIL_FAILOVER_FAILOVERRECORD_H

#include <failover/FailoverCause.h>
#include <failover/PhaseTime.h>

#include <core/Position.h>

#include <string>
#include <vector>

namespace auburnrail {

/// Account of one failover, for `explain failover`.
struct FailoverRecord
{
    std::string group;
    FailoverCause cause = FailoverCause::Suspicion;
    std::string oldPrimary;
    std::string newPrimary;
    std::string wantedPrimary; ///< Planned: the operator's choice.
    std::uint64_t term = 0;
    Position position; ///< Of the chosen endpoint when it was fenced.
    bool completed = false;
    TimePoint endedAt;
    std::vector<PhaseTime> phases; ///< In order of time; the oldest are dropped over the limit.
    std::string note;              ///< One sentence, for example why a fresh term was needed.
};

} // namespace auburnrail

#endif
