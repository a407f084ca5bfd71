#include "LeaderOrder.h"

#include "ResultStatusTable.h"

#include <http/JsonReader.h>

#include <absl/strings/str_cat.h>

#include <utility>

namespace auburnrail::detail {

namespace {

constexpr auto HTTP_SERVER_FAULT = 500;
constexpr auto HTTP_UNAVAILABLE = 503;

auto codeOf(int status) -> ExitCode
{
    if (status == HTTP_OK)
        return ExitCode::Done;
    if (status == HTTP_BAD_REQUEST)
        return ExitCode::BadInput;
    if (status == HTTP_UNAVAILABLE)
        return ExitCode::Unavailable;
    return status >= HTTP_SERVER_FAULT ? ExitCode::Unknown : ExitCode::Refused;
}

} // namespace

auto orderLeader(const ClientHooks &hooks, OperatorClient &client, const std::string &target,
                 std::string body, Duration limit) -> LeaderAnswer
{
    const auto leader = client.findLeader(limit);
    if (!leader.ok())
        return {.code = ExitCode::Unavailable, .error = std::string(leader.status().message())};
    const auto request =
        HttpRequest{.target = target, .headers = {}, .body = std::move(body), .peer = {}};
    auto exchange = hooks.exchange(*leader, request, limit);
    if (exchange.phase != ExchangePhase::Answered) {
        const auto isUnsent =
            exchange.phase == ExchangePhase::Connecting || exchange.phase == ExchangePhase::Refused;
        return {.code = isUnsent ? ExitCode::Unavailable : ExitCode::Unknown,
                .error = absl::StrCat(*leader, ": ", exchange.error)};
    }
    auto answer = LeaderAnswer{.code = codeOf(exchange.response.status),
                               .body = std::move(exchange.response.body)};
    if (answer.code != ExitCode::Done)
        answer.error = JsonReader(answer.body, "answer").text("error");
    return answer;
}

} // namespace auburnrail::detail
