#ifndef AUBURNRAIL_OBSERVE_OBJECTIVEKIND_H
#define AUBURNRAIL_OBSERVE_OBJECTIVEKIND_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What an objective measures.
enum class ObjectiveKind : std::uint8_t {
    Availability, ///< Bad: a request failed through a fault of the system.
    Latency,      ///< Bad: a request that succeeded took longer than the threshold.
    FailoverGap,  ///< Bad: a failover left a service without primary for longer than the threshold.
    WrongfulRefusals, ///< Bad: a request was refused although its organisation was within its rate.
};

template <>
inline constexpr auto ENUM_NAMES<ObjectiveKind> = std::to_array<EnumName<ObjectiveKind>>({
    {ObjectiveKind::Availability, "availability"},
    {ObjectiveKind::Latency, "latency"},
    {ObjectiveKind::FailoverGap, "failover-gap"},
    {ObjectiveKind::WrongfulRefusals, "wrongful-refusals"},
});

} // namespace auburnrail

#endif
