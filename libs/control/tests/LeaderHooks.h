#ifndef AUBURNRAIL_CONTROL_TESTS_LEADERHOOKS_H
#define AUBURNRAIL_CONTROL_TESTS_LEADERHOOKS_H

#include <control/ControlTablesHooks.h>

namespace auburnrail {

constexpr auto WALL_MILLIS = std::int64_t(1'700'000'000'000);

/// Hooks of a member that leads, has a quorum and proposes nothing.
inline auto leaderHooks() -> ControlTablesHooks
{
    return {.propose = [](const std::string &) -> absl::StatusOr<Revision> {
                return absl::UnavailableError("no log");
            },
            .isLeaderWithQuorum = [](TimePoint) { return true; },
            .leader = [] { return std::string("m1"); },
            .wallClock = [] { return WALL_MILLIS; },
            .endpointHooks = {}};
}

} // namespace auburnrail

#endif
