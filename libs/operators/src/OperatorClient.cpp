#include <operators/OperatorClient.h>

#include <http/JsonReader.h>
#include <operators/CommandJson.h>

#include "ResultStatusTable.h"

#include <algorithm>
#include <utility>

namespace auburnrail {

namespace {

constexpr auto ATTEMPT_TIMEOUT = Duration(std::chrono::seconds(5));
constexpr auto ROUND_PAUSE = Duration(std::chrono::milliseconds(200));

/// Whether the peer can't have acted on the request.
auto isUnsent(const ExchangeResult &exchange) -> bool
{
    return exchange.phase == ExchangePhase::Connecting || exchange.phase == ExchangePhase::Refused;
}

/// Answer of one attempt. NotRun only when it had no effect.
auto answerOf(const std::string &address, const ExchangeResult &exchange) -> SubmitAnswer
{
    if (exchange.phase == ExchangePhase::Answered)
        return decodeSubmitAnswer(exchange.response);
    return SubmitAnswer{.status = isUnsent(exchange) ? SubmitStatus::NotRun : SubmitStatus::Unknown,
                        .message = address + ": " + exchange.error};
}

} // namespace

OperatorClient::OperatorClient(ClientHooks hooks, std::vector<std::string> addresses)
    : hooks(std::move(hooks))
    , addresses(std::move(addresses))
{
}

auto OperatorClient::submit(const Command &command, Duration limit) -> SubmitAnswer
{
    const auto request = HttpRequest{
        .target = "/v1/commands", .headers = {}, .body = encodeCommandJson(command), .peer = {}};
    const auto deadline = this->hooks.now() + limit;
    auto mayHaveRun = false;
    auto last = SubmitAnswer{.message = "no control member was asked in time"};
    auto next = std::size_t(0);
    auto hint = std::string();
    for (auto now = this->hooks.now(); now < deadline; now = this->hooks.now()) {
        const auto followsHint = !hint.empty();
        const auto address = followsHint ? std::exchange(hint, {})
                                         : this->addresses[next++ % this->addresses.size()];
        last = answerOf(address, this->hooks.exchange(address, request,
                                                      std::min(ATTEMPT_TIMEOUT, deadline - now)));
        if (last.status == SubmitStatus::Decided) {
            // An earlier attempt may have been decided and forgotten since.
            if (last.result.status == CommandStatus::TooOld && mayHaveRun)
                return SubmitAnswer{.status = SubmitStatus::Unknown,
                                    .message = last.result.message};
            return last;
        }
        mayHaveRun = mayHaveRun || last.status == SubmitStatus::Unknown;
        // One hint in a row, so that two members that name each other do not keep the client busy.
        if (last.status == SubmitStatus::NotLeader && !followsHint)
            hint = last.leader;
        if (hint.empty() && next % this->addresses.size() == 0)
            this->hooks.pause(std::min(ROUND_PAUSE, deadline - now));
    }
    last.status = mayHaveRun ? SubmitStatus::Unknown : SubmitStatus::NotRun;
    last.leader.clear();
    return last;
}

auto OperatorClient::get(const std::string &target, Duration limit) -> absl::StatusOr<std::string>
{
    const auto request =
        HttpRequest{.method = "GET", .target = target, .headers = {}, .body = {}, .peer = {}};
    const auto deadline = this->hooks.now() + limit;
    auto error = std::string("no control member was asked in time");
    auto next = std::size_t(0);
    for (auto now = this->hooks.now(); now < deadline; now = this->hooks.now()) {
        const auto &address = this->addresses[next++ % this->addresses.size()];
        auto exchange =
            this->hooks.exchange(address, request, std::min(ATTEMPT_TIMEOUT, deadline - now));
        if (exchange.phase == ExchangePhase::Answered) {
            if (exchange.response.status == detail::HTTP_OK)
                return std::move(exchange.response.body);
            if (exchange.response.status == detail::HTTP_BAD_REQUEST)
                return absl::InvalidArgumentError(exchange.response.body);
            error = address + ": " + exchange.response.body;
        } else {
            error = address + ": " + exchange.error;
        }
        if (next % this->addresses.size() == 0)
            this->hooks.pause(std::min(ROUND_PAUSE, deadline - now));
    }
    return absl::UnavailableError(error);
}

auto OperatorClient::getFromEach(const std::string &target, Duration limit)
    -> std::map<std::string, std::string>
{
    const auto request =
        HttpRequest{.method = "GET", .target = target, .headers = {}, .body = {}, .peer = {}};
    auto answers = std::map<std::string, std::string>();
    for (const auto &address : this->addresses) {
        auto exchange = this->hooks.exchange(address, request, std::min(ATTEMPT_TIMEOUT, limit));
        if (exchange.phase == ExchangePhase::Answered
            && exchange.response.status == detail::HTTP_OK)
            answers[address] = std::move(exchange.response.body);
    }
    return answers;
}

auto OperatorClient::findLeader(Duration limit) -> absl::StatusOr<std::string>
{
    const auto deadline = this->hooks.now() + limit;
    for (auto now = this->hooks.now(); now < deadline; now = this->hooks.now()) {
        for (const auto &[address, body] : this->getFromEach("/v1/status", deadline - now)) {
            auto reader = JsonReader(body, "status");
            if (reader.boolean("leading"))
                return address;
        }
        this->hooks.pause(std::min(ROUND_PAUSE, deadline - now));
    }
    return absl::UnavailableError("no control member leads");
}

} // namespace auburnrail
