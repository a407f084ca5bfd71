#ifndef AUBURNRAIL_REQUEST_ENDPOINTEXCHANGEPHASE_H
#define AUBURNRAIL_REQUEST_ENDPOINTEXCHANGEPHASE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Progress of an exchange with an endpoint; same meaning as ExchangePhase of the http library.
/// Only Connecting and Refused prove that the endpoint has not processed the request.
enum class EndpointExchangePhase : std::uint8_t {
    Connecting, ///< No connection was established; nothing was sent.
    Refused,    ///< The connection was closed before the first byte was sent.
    Sent,       ///< Bytes may have been sent; no usable response was received.
    TimedOut,   ///< Bytes may have been sent; the time limit passed.
    Truncated,  ///< The response was incomplete or could not be decoded.
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
