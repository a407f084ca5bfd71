#include <control/PossibleLoss.h>

#include <core/PositionText.h>

#include <absl/strings/str_cat.h>

#include <compare>

namespace auburnrail {

auto PossibleLoss::entries() const -> std::optional<std::uint64_t>
{
    if (!this->upTo || this->upTo->term != this->after.term)
        return std::nullopt;
    return this->upTo->index > this->after.index ? this->upTo->index - this->after.index : 0;
}

auto PossibleLoss::toText() const -> std::string
{
    if (this->upTo && std::is_lteq(*this->upTo <=> this->after))
        return "no acknowledged commit";
    const auto begin = positionText(this->after);
    if (this->upTo)
        return absl::StrCat("commits after ", begin, " up to ", positionText(*this->upTo));
    const auto known = std::is_gt(this->atLeast <=> this->after)
                           ? absl::StrCat(", at least up to ", positionText(this->atLeast))
                           : std::string();
    return absl::StrCat("an unknown number of commits after ", begin, known);
}

auto possibleLoss(const PromotionEvidence &evidence, Position after) -> PossibleLoss
{
    return PossibleLoss{
        .after = after, .upTo = evidence.acknowledged, .atLeast = evidence.acknowledgedAtLeast};
}

} // namespace auburnrail
