#ifndef AUBURNRAIL_CONTROL_DEPARTUREOUTCOME_H
#define AUBURNRAIL_CONTROL_DEPARTUREOUTCOME_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Why a departure may be acknowledged.
enum class DepartureOutcome : std::uint8_t {
    HandedOver,     ///< A replica that stays has everything that the endpoint has confirmed.
    Unsynchronised, ///< The group has no synchronous replicas.
    Primary,        ///< A planned promotion replaces the endpoint.
    Unsupported,    ///< Endpoints of this deployment name no positions.
    Gone,           ///< The endpoint ended before.
    Behind,         ///< The limit was reached before a replica that stays had everything.
    Unanswered,     ///< The limit was reached before the endpoint had named its position.
    InFailover,     ///< The limit was reached during a failover of the group.
};

template <>
inline constexpr auto ENUM_NAMES<DepartureOutcome> = std::to_array<EnumName<DepartureOutcome>>({
    {DepartureOutcome::HandedOver, "handed-over"},
    {DepartureOutcome::Unsynchronised, "unsynchronised"},
    {DepartureOutcome::Primary, "primary"},
    {DepartureOutcome::Unsupported, "unsupported"},
    {DepartureOutcome::Gone, "gone"},
    {DepartureOutcome::Behind, "behind"},
    {DepartureOutcome::Unanswered, "unanswered"},
    {DepartureOutcome::InFailover, "in-failover"},
});

/// Whether the endpoint may take something with it that no replica that stays has.
[[nodiscard]] constexpr auto mayLackCommits(DepartureOutcome outcome) -> bool
{
    return outcome == DepartureOutcome::Gone || outcome == DepartureOutcome::Behind
           || outcome == DepartureOutcome::Unanswered || outcome == DepartureOutcome::InFailover;
}

} // namespace auburnrail

#endif
