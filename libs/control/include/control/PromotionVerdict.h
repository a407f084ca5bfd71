#ifndef AUBURNRAIL_CONTROL_PROMOTIONVERDICT_H
#define AUBURNRAIL_CONTROL_PROMOTIONVERDICT_H

#include <failover/PromotionEvidence.h>

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Whether a promotion may lose what was acknowledged.
enum class PromotionVerdict : std::uint8_t {
    Safe,         ///< There is a proof, or none is needed.
    LossAccepted, ///< An operator accepted it.
    Unproved,     ///< Neither; must never be ordered.
};

template <>
inline constexpr auto ENUM_NAMES<PromotionVerdict> = std::to_array<EnumName<PromotionVerdict>>({
    {PromotionVerdict::Safe, "safe"},
    {PromotionVerdict::LossAccepted, "loss-accepted"},
    {PromotionVerdict::Unproved, "unproved"},
});

/// Does not rely on the proof alone: a promotion of an endpoint that is known to lack a part of
/// what was acknowledged is unproved, whatever its proof says.
[[nodiscard]] auto judgePromotion(const PromotionEvidence &evidence) -> PromotionVerdict;

} // namespace auburnrail

#endif
