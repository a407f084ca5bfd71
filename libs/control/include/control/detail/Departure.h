#ifndef AUBURNRAIL_CONTROL_DETAIL_DEPARTURE_H
#define AUBURNRAIL_CONTROL_DETAIL_DEPARTURE_H

#include <control/DepartureOutcome.h>
#include <control/DeparturePhase.h>

#include <failover/GroupEndpoint.h>

#include <core/Position.h>
#include <core/Time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnrail::detail {

/// The departure of one process.
struct Departure
{
    std::string group;
    GroupEndpoint endpoint;
    std::uint64_t id = 0; ///< Changes when the handover begins anew: earlier responses don't count.
    DeparturePhase phase = DeparturePhase::CatchingUp;
    TimePoint beganAt;
    TimePoint heardAt; ///< Time of its last announcement.
    TimePoint nextCallsAt;
    std::optional<Position> position; ///< To be reached by a replica that stays.
    std::map<std::string, Position> staying;
    std::set<std::string> called; ///< Endpoints whose response is awaited.
    bool mayBeStopped = false;    ///< It was told to stop receiving.
    std::optional<DepartureOutcome> outcome;
    std::vector<std::function<auto(DepartureOutcome)->void>> waiters;
};

} // namespace auburnrail::detail

#endif
