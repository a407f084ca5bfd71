#ifndef AUBURNRAIL_FAILOVER_EVIDENCEWAITSTAGE_H
#define AUBURNRAIL_FAILOVER_EVIDENCEWAITSTAGE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Stage of a wait for evidence when it is reported.
enum class EvidenceWaitStage : std::uint8_t {
    Began,
    Lasts,
    Ended, ///< There is a proof, or this member no longer carries out the failover.
};

template <>
inline constexpr auto ENUM_NAMES<EvidenceWaitStage> = std::to_array<EnumName<EvidenceWaitStage>>({
    {EvidenceWaitStage::Began, "began"},
    {EvidenceWaitStage::Lasts, "lasts"},
    {EvidenceWaitStage::Ended, "ended"},
});

} // namespace auburnrail

#endif
