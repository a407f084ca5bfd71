#ifndef AUBURNRAIL_OBSERVE_BURNOBJECTIVE_H
#define AUBURNRAIL_OBSERVE_BURNOBJECTIVE_H

#include <state/ObjectiveKind.h>

#include <core/Time.h>

#include <functional>
#include <string>
#include <string_view>

namespace auburnrail {

/// A service level objective.
struct BurnObjective
{
    std::string name;
    ObjectiveKind kind = ObjectiveKind::Availability;
    double target = 0.999;                               ///< Part of good events, in (0, 1).
    Duration threshold = std::chrono::milliseconds(500); ///< Of latency and failover gap.
    Duration window = std::chrono::hours(24 * 28);       ///< For the error budget; at most 30 days.

    /// Whether events of this service and organisation count; empty: all do. The caller binds the
    /// objective's selector here.
    std::function<auto(std::string_view service, std::string_view organisation)->bool> applies;
};

} // namespace auburnrail

#endif
