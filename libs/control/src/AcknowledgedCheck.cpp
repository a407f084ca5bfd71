#include <control/AcknowledgedCheck.h>

#include <algorithm>
#include <compare>

namespace auburnrail {

auto checkAcknowledged(const PromotionEvidence &evidence) -> AcknowledgedCheck
{
    if (evidence.synchronousReplicas == 0 || evidence.oldPrimary.empty())
        return AcknowledgedCheck::NotNeeded;
    if (!evidence.acknowledged)
        return AcknowledgedCheck::Unknown;
    const auto holds = [&](const FenceEvidence &fenced) {
        return !fenced.rebuilding && std::is_gteq(fenced.position <=> *evidence.acknowledged);
    };
    const auto isMet = std::any_of(evidence.fenced.begin(), evidence.fenced.end(),
                                   [&](const FenceEvidence &fenced) {
                                       return fenced.endpoint == evidence.endpoint && holds(fenced);
                                   });
    if (isMet)
        return AcknowledgedCheck::Met;
    return std::any_of(evidence.fenced.begin(), evidence.fenced.end(), holds)
               ? AcknowledgedCheck::Elsewhere
               : AcknowledgedCheck::GivenUp;
}

} // namespace auburnrail
