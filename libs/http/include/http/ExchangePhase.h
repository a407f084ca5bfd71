#ifndef AUBURNRAIL_HTTP_EXCHANGEPHASE_H
#define AUBURNRAIL_HTTP_EXCHANGEPHASE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// How far an exchange got. Only the first two prove that the peer has not acted on it.
enum class ExchangePhase : std::uint8_t {
    Connecting, ///< No connection; nothing was sent.
    Refused,    ///< The connection was closed by the peer before the first byte was sent.
    Sent,       ///< Bytes may have left; no usable answer came.
    TimedOut,   ///< Bytes may have left; the deadline passed.
    Truncated,  ///< The answer began and did not end.
    Answered,   ///< The whole answer is here.
};

template <>
inline constexpr auto ENUM_NAMES<ExchangePhase> = std::to_array<EnumName<ExchangePhase>>({
    {ExchangePhase::Connecting, "connecting"},
    {ExchangePhase::Refused, "refused"},
    {ExchangePhase::Sent, "sent"},
    {ExchangePhase::TimedOut, "timed-out"},
    {ExchangePhase::Truncated, "truncated"},
    {ExchangePhase::Answered, "answered"},
});

} // namespace auburnrail

#endif
