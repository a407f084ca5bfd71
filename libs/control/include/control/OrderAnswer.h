#ifndef AUBURNRAIL_CONTROL_ORDERANSWER_H
#define AUBURNRAIL_CONTROL_ORDERANSWER_H

#include <http/ExchangePhase.h>

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What came back for an order to an endpoint.
enum class OrderAnswer : std::uint8_t {
    Accepted,
    Refused,
    NotSent,  ///< Nothing was sent, so that the order can't take effect later.
    NoAnswer, ///< The order may take effect later.
};

template <>
inline constexpr auto ENUM_NAMES<OrderAnswer> = std::to_array<EnumName<OrderAnswer>>({
    {OrderAnswer::Accepted, "accepted"},
    {OrderAnswer::Refused, "refused"},
    {OrderAnswer::NotSent, "not-sent"},
    {OrderAnswer::NoAnswer, "no-answer"},
});

/// The answer to an order whose exchange ended so, without a whole answer.
[[nodiscard]] constexpr auto answerWithout(ExchangePhase phase) -> OrderAnswer
{
    return phase == ExchangePhase::Connecting || phase == ExchangePhase::Refused
               ? OrderAnswer::NotSent
               : OrderAnswer::NoAnswer;
}

} // namespace auburnrail

#endif
