#ifndef AUBURNRAIL_CONTROL_DEPARTUREPHASE_H
#define AUBURNRAIL_CONTROL_DEPARTUREPHASE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Phase of the handover of a leaving replica.
enum class DeparturePhase : std::uint8_t {
    CatchingUp, ///< A replica that stays is to have the position that the endpoint named first.
    Stopping,   ///< The endpoint is told to stop receiving.
    Completing, ///< A replica that stays is to have the endpoint's last position.
    Ended,      ///< The departure may be acknowledged.
    Returning,  ///< The endpoint stays after all, and is told to receive again.
};

template <>
inline constexpr auto ENUM_NAMES<DeparturePhase> = std::to_array<EnumName<DeparturePhase>>({
    {DeparturePhase::CatchingUp, "catching-up"},
    {DeparturePhase::Stopping, "stopping"},
    {DeparturePhase::Completing, "completing"},
    {DeparturePhase::Ended, "ended"},
    {DeparturePhase::Returning, "returning"},
});

} // namespace auburnrail

#endif
