#ifndef AUBURNRAIL_CONTROL_PROMOTIONOUTCOME_H
#define AUBURNRAIL_CONTROL_PROMOTIONOUTCOME_H

#include <control/OrderAnswer.h>

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What control has seen of a promotion that it ordered.
enum class PromotionOutcome : std::uint8_t {
    TookEffect,
    NotSeen, ///< Accepted, but the endpoint did not lead in time. It may later.
    Refused,
    NotSent,
    NoAnswer, ///< It may take effect later.
};

template <>
inline constexpr auto ENUM_NAMES<PromotionOutcome> = std::to_array<EnumName<PromotionOutcome>>({
    {PromotionOutcome::TookEffect, "took-effect"},
    {PromotionOutcome::NotSeen, "not-seen"},
    {PromotionOutcome::Refused, "refused"},
    {PromotionOutcome::NotSent, "not-sent"},
    {PromotionOutcome::NoAnswer, "no-answer"},
});

/// The outcome of an order that was answered so; an accepted one has taken effect.
[[nodiscard]] constexpr auto promotionOutcome(OrderAnswer answer) -> PromotionOutcome
{
    switch (answer) {
    case OrderAnswer::Accepted:
        return PromotionOutcome::TookEffect;
    case OrderAnswer::Refused:
        return PromotionOutcome::Refused;
    case OrderAnswer::NotSent:
        return PromotionOutcome::NotSent;
    case OrderAnswer::NoAnswer:
        break;
    }
    return PromotionOutcome::NoAnswer;
}

} // namespace auburnrail

#endif
