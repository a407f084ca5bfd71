#ifndef AUBURNRAIL_FAILOVER_PROMOTIONPROOF_H
#define AUBURNRAIL_FAILOVER_PROMOTIONPROOF_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What shows that an endpoint may be promoted without the loss of an acknowledged write.
enum class PromotionProof : std::uint8_t {
    None,                 ///< Nothing; it must not be promoted.
    NotNeeded,            ///< No synchronous replicas, or no earlier primary.
    AcknowledgedPosition, ///< Its log reaches the highest position that entries have acknowledged.
    OldPrimaryLog,        ///< Its log reaches the end of the old primary's log.
    ReplicaLogs,          ///< Its log reaches the ends of the logs of all that may have confirmed.
    OperatorDecision,     ///< An operator accepts the loss of what its log lacks.
};

template <>
inline constexpr auto ENUM_NAMES<PromotionProof> = std::to_array<EnumName<PromotionProof>>({
    {PromotionProof::None, "none"},
    {PromotionProof::NotNeeded, "not-needed"},
    {PromotionProof::AcknowledgedPosition, "acknowledged-position"},
    {PromotionProof::OldPrimaryLog, "old-primary-log"},
    {PromotionProof::ReplicaLogs, "replica-logs"},
    {PromotionProof::OperatorDecision, "operator-decision"},
});

/// Whether the proof is evidence about a log.
[[nodiscard]] constexpr auto isAboutLogs(PromotionProof proof) -> bool
{
    return proof == PromotionProof::AcknowledgedPosition || proof == PromotionProof::OldPrimaryLog
           || proof == PromotionProof::ReplicaLogs;
}

} // namespace auburnrail

#endif
