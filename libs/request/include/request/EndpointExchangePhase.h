#ifndef AUBURNRAIL_REQUEST_ENDPOINTEXCHANGEPHASE_H
#define AUBURNRAIL_REQUEST_ENDPOINTEXCHANGEPHASE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// How far an exchange with an endpoint got; same meaning as ExchangePhase of the http library.
/// Only the first two prove that the endpoint has not acted on it.
enum class EndpointExchangePhase : std::uint8_t {
    Connecting, ///< No connection; nothing was sent.
    Refused,    ///< The connection was closed before the first byte was sent.
    Sent,       ///< Bytes may have left; no usable answer came.
    TimedOut,   ///< Bytes may have left; the time limit passed.
    Truncated,  ///< The answer began and did not end, or could not be decoded.
    Answered,
};

template <>
inline constexpr auto
    ENUM_NAMES<EndpointExchangePhase> = std::to_array<EnumName<EndpointExchangePhase>>({
        {EndpointExchangePhase::Connecting, "connecting"},
        {EndpointExchangePhase::Refused, "refused"},
        {EndpointExchangePhase::Sent, "sent"},
        {EndpointExchangePhase::TimedOut, "timed-out"},
        {EndpointExchangePhase::Truncated, "truncated"},
        {EndpointExchangePhase::Answered, "answered"},
    });

} // namespace auburnrail

#endif
