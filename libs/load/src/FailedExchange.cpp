#include "FailedExchange.h"

namespace auburnrail::detail {

auto describeFailure(const ExchangeResult &exchange) -> LoadExchangeResult
{
    auto result = LoadExchangeResult();
    result.answer.message = exchange.error;
    result.answer.outcome = Outcome::Unknown;
    switch (exchange.phase) {
    case ExchangePhase::Connecting:
    case ExchangePhase::Refused:
        result.answer.outcome = Outcome::NotRun;
        result.answer.reason = ReasonCode::ConnectFailed;
        break;
    case ExchangePhase::TimedOut:
        result.answer.reason = ReasonCode::AnswerTimeout;
        break;
    case ExchangePhase::Truncated:
        result.answer.reason = ReasonCode::AnswerTruncated;
        result.isWhole = false;
        break;
    case ExchangePhase::Sent:
    case ExchangePhase::Answered:
        result.answer.reason = ReasonCode::ConnectionLost;
        break;
    }
    return result;
}

} // namespace auburnrail::detail
