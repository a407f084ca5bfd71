#include <load/DirectExchange.h>

#include "FailedExchange.h"

#include <endpoint/EndpointCodec.h>
#include <http/HttpConnection.h>

#include <memory>

namespace auburnrail {

namespace {

constexpr auto EXCHANGE_TIMEOUT = std::chrono::seconds(5);

auto operationOf(RequestKind kind) -> EndpointOperation
{
    switch (kind) {
    case RequestKind::Begin:
        return EndpointOperation::Begin;
    case RequestKind::Commit:
        return EndpointOperation::Commit;
    case RequestKind::Rollback:
        return EndpointOperation::Rollback;
    case RequestKind::Statement:
        break;
    }
    return EndpointOperation::Execute;
}

auto toEndpointRequest(const CallerRequest &request, std::uint64_t term) -> EndpointRequest
{
    return EndpointRequest{.exchangeId = request.requestId,
                           .operation = operationOf(request.kind),
                           .term = term,
                           .mode = request.mode,
                           .statement = request.statement,
                           .organisation = "direct",
                           .idempotencyKey = request.idempotencyKey,
                           .fingerprint = request.statement};
}

auto toExchangeResult(const ExchangeResult &exchange, const std::string &exchangeId)
    -> LoadExchangeResult
{
    if (exchange.phase != ExchangePhase::Answered)
        return detail::describeFailure(exchange);
    auto result = LoadExchangeResult();
    const auto answer = decodeEndpointResponse(exchange.response);
    if (!answer.ok() || answer->exchangeId != exchangeId) {
        result.answer.outcome = Outcome::Unknown;
        result.answer.reason = ReasonCode::AnswerMismatched;
        result.isWhole = false;
        return result;
    }
    const auto ran = answer->refusal == EndpointRefusal::None;
    result.answer.outcome = ran ? Outcome::Ran : Outcome::NotRun;
    result.answer.reason = ran ? ReasonCode::Completed : ReasonCode::StatementFailed;
    result.answer.message = std::string(nameOf(answer->refusal));
    result.answer.result = answer->result;
    result.answer.transaction = "direct";
    result.answer.servedByReplica = !answer->primary;
    return result;
}

} // namespace

auto makeDirectExchange(const std::string &address)
    -> std::function<auto(std::size_t, const CallerRequest &)->LoadExchangeResult>
{
    struct State
    {
        std::unique_ptr<HttpConnection> connection;
        std::uint64_t term = 0;
    };
    return [state = std::make_shared<State>(), address](std::size_t, const CallerRequest &request) {
        if (state->connection == nullptr || !state->connection->isUsable()) {
            state->connection = std::make_unique<HttpConnection>(address);
            const auto status = state->connection->exchange(
                encodeEndpointRequest(EndpointRequest{.exchangeId = "status",
                                                      .operation = EndpointOperation::Status}),
                EXCHANGE_TIMEOUT);
            const auto answer = decodeEndpointResponse(status.response);
            if (status.phase == ExchangePhase::Answered && answer.ok())
                state->term = answer->term;
        }
        return toExchangeResult(
            state->connection->exchange(
                encodeEndpointRequest(toEndpointRequest(request, state->term)), EXCHANGE_TIMEOUT),
            request.requestId);
    };
}

} // namespace auburnrail
