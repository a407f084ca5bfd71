#include <control/PromotionVerdict.h>

#include <control/AcknowledgedCheck.h>

namespace auburnrail {

auto judgePromotion(const PromotionEvidence &evidence) -> PromotionVerdict
{
    if (evidence.proof == PromotionProof::OperatorDecision)
        return PromotionVerdict::LossAccepted;
    const auto check = checkAcknowledged(evidence);
    const auto lacksSome =
        check == AcknowledgedCheck::GivenUp || check == AcknowledgedCheck::Elsewhere;
    return evidence.proof == PromotionProof::None || lacksSome ? PromotionVerdict::Unproved
                                                               : PromotionVerdict::Safe;
}

} // namespace auburnrail
