#ifndef AUBURNRAIL_CONTROL_ACKNOWLEDGEDCHECK_H
#define AUBURNRAIL_CONTROL_ACKNOWLEDGEDCHECK_H

#include <failover/PromotionEvidence.h>

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Whether the endpoint that is promoted has what the entries have acknowledged.
enum class AcknowledgedCheck : std::uint8_t {
    Met,
    Elsewhere, ///< The endpoint lacks some of it, and another fenced one has it.
    GivenUp,   ///< No fenced endpoint has it.
    Unknown,   ///< The position isn't known.
    NotNeeded, ///< No synchronous replicas, or no earlier primary.
};

template <>
inline constexpr auto ENUM_NAMES<AcknowledgedCheck> = std::to_array<EnumName<AcknowledgedCheck>>({
    {AcknowledgedCheck::Met, "met"},
    {AcknowledgedCheck::Elsewhere, "elsewhere"},
    {AcknowledgedCheck::GivenUp, "given-up"},
    {AcknowledgedCheck::Unknown, "unknown"},
    {AcknowledgedCheck::NotNeeded, "not-needed"},
});

/// An endpoint that is rebuilding doesn't count, whatever its position.
[[nodiscard]] auto checkAcknowledged(const PromotionEvidence &evidence) -> AcknowledgedCheck;

} // namespace auburnrail

#endif
