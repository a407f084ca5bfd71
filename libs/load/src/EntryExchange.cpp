#include <load/EntryExchange.h>

#include "FailedExchange.h"

#include <callers/CallerCodec.h>
#include <http/HttpConnection.h>

#include <memory>

namespace auburnrail {

namespace {

/// Beyond the caller's deadline, so that the entry's own answer about the deadline arrives.
constexpr auto ANSWER_MARGIN = std::chrono::milliseconds(500);

} // namespace

auto makeEntryExchange(const std::vector<std::string> &addresses)
    -> std::function<auto(std::size_t, const CallerRequest &)->LoadExchangeResult>
{
    using Connections = std::vector<std::unique_ptr<HttpConnection>>;
    auto connections = std::make_shared<Connections>(addresses.size());
    return [connections, addresses](std::size_t target, const CallerRequest &request) {
        auto &connection = (*connections)[target];
        const auto now = std::chrono::steady_clock::now();
        const auto message = encodeCallerRequest(request, now);
        auto exchange = ExchangeResult();
        // An idle connection that the entry closed has carried nothing; a new one is opened once.
        for (auto attempt = 0; attempt < 2; ++attempt) {
            if (connection == nullptr || !connection->isUsable())
                connection = std::make_unique<HttpConnection>(addresses[target]);
            exchange = connection->exchange(message, request.deadline - now + ANSWER_MARGIN);
            if (exchange.phase != ExchangePhase::Refused)
                break;
        }
        if (exchange.phase != ExchangePhase::Answered)
            return detail::describeFailure(exchange);
        auto result = LoadExchangeResult{.answer = decodeCallerResponse(exchange.response)};
        const auto id = exchange.response.headers.find("x-request-id");
        result.isWhole = id != exchange.response.headers.end() && id->second == request.requestId
                         && (result.answer.outcome != Outcome::Unknown
                             || result.answer.reason != ReasonCode::InternalError);
        return result;
    };
}

} // namespace auburnrail
