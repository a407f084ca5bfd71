#ifndef AUBURNRAIL_REQUEST_EXCHANGEREASON_H
#define AUBURNRAIL_REQUEST_EXCHANGEREASON_H

#include <request/EndpointExchange.h>
#include <request/EndpointRefusal.h>

#include <core/ReasonCode.h>

namespace auburnrail::detail {

/// Whether the exchange ended before its first byte was sent, so that it had no effect.
[[nodiscard]] constexpr auto endedUnsent(EndpointExchangePhase phase) -> bool
{
    return phase == EndpointExchangePhase::Connecting || phase == EndpointExchangePhase::Refused;
}

/// Reason for an exchange without a usable response; Answered means a mismatched exchange id.
[[nodiscard]] constexpr auto reasonOf(EndpointExchangePhase phase) -> ReasonCode
{
    switch (phase) {
    case EndpointExchangePhase::Connecting:
    case EndpointExchangePhase::Refused:
        return ReasonCode::ConnectFailed;
    case EndpointExchangePhase::Sent:
        return ReasonCode::ConnectionLost;
    case EndpointExchangePhase::TimedOut:
        return ReasonCode::AnswerTimeout;
    case EndpointExchangePhase::Truncated:
        return ReasonCode::AnswerTruncated;
    case EndpointExchangePhase::Answered:
        break;
    }
    return ReasonCode::AnswerMismatched;
}

/// Reason for a refusal by an endpoint.
[[nodiscard]] constexpr auto reasonOf(EndpointRefusal refusal) -> ReasonCode
{
    switch (refusal) {
    case EndpointRefusal::WrongTerm:
    case EndpointRefusal::Fenced:
        return ReasonCode::TermReplaced;
    case EndpointRefusal::NotPrimary:
        return ReasonCode::NoPrimary;
    case EndpointRefusal::Behind:
        return ReasonCode::NoFreshReplica;
    case EndpointRefusal::Busy:
        return ReasonCode::EndpointOverloaded;
    case EndpointRefusal::Leaving:
        return ReasonCode::NoEndpoint;
    case EndpointRefusal::NoTransaction:
        return ReasonCode::TransactionAborted;
    case EndpointRefusal::IdempotencyConflict:
        return ReasonCode::IdempotencyConflict;
    case EndpointRefusal::BadStatement:
        return ReasonCode::StatementFailed;
    case EndpointRefusal::None:
        break;
    }
    return ReasonCode::InternalError;
}

} // namespace auburnrail::detail

#endif
