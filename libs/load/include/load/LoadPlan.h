#ifndef AUBURNRAIL_LOAD_LOADPLAN_H
#define AUBURNRAIL_LOAD_LOADPLAN_H

#include <load/LoadProfile.h>
#include <load/PlannedRequest.h>

#include <core/RandomSource.h>

#include <vector>

namespace auburnrail {

/// Draws every request of a run beforehand, ordered by time, so that slow answers don't change what
/// is sent. Each organisation sends as a Poisson process at its rate times its sent share.
[[nodiscard]] auto planLoad(const LoadProfile &profile, Duration length, const RandomSource &random)
    -> std::vector<PlannedRequest>;

} // namespace auburnrail

#endif
