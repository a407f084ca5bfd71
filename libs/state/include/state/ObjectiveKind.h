#ifndef AUBURNRAIL_STATE_OBJECTIVEKIND_H
#define AUBURNRAIL_STATE_OBJECTIVEKIND_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What an objective measures.
enum class ObjectiveKind : std::uint8_t {
    Availability,     ///< Target: fraction of requests served, 0 to 1.
    Latency,          ///< Target: milliseconds.
    FailoverGap,      ///< Target: milliseconds.
    WrongfulRefusals, ///< Target: fraction of requests, 0 to 1.
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
