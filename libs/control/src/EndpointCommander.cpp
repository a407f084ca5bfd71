#include <control/EndpointCommander.h>

#include <endpoint/ControlCodec.h>
#include <http/HttpConnection.h>

#include <absl/strings/str_cat.h>

namespace auburnrail {

namespace {

/// Sends an order that is answered by a ControlAnswer.
auto isAccepted(const std::string &address, const HttpRequest &request,
                const std::string &exchangeId) -> bool
{
    const auto result = exchangeOnce(address, request, EndpointCommander::TIME_LIMIT_MS);
    if (result.phase != ExchangePhase::Answered)
        return false;
    const auto answer = decodeControlAnswer(result.response);
    return answer.ok() && answer->exchangeId == exchangeId && answer->accepted;
}

} // namespace

EndpointCommander::EndpointCommander(RandomSource secureRandom)
    : random(std::move(secureRandom))
{
}

auto EndpointCommander::newExchangeId() -> std::string
{
    return absl::StrCat(absl::Hex(this->random()));
}

auto EndpointCommander::fence(const GroupEndpoint &endpoint, std::uint64_t term)
    -> std::optional<FenceResponse>
{
    const auto request = FenceRequest{.exchangeId = this->newExchangeId(), .term = term};
    const auto result = exchangeOnce(endpoint.address, encodeFenceRequest(request), TIME_LIMIT_MS);
    if (result.phase != ExchangePhase::Answered)
        return std::nullopt;
    auto answer = decodeFenceAnswer(result.response, request.exchangeId);
    if (!answer.ok())
        return std::nullopt;
    return *std::move(answer);
}

auto EndpointCommander::promote(const GroupEndpoint &endpoint, std::uint64_t term,
                                const std::vector<GroupEndpoint> &members) -> bool
{
    const auto request =
        PromoteRequest{.exchangeId = this->newExchangeId(), .term = term, .members = members};
    return isAccepted(endpoint.address, encodePromoteRequest(request), request.exchangeId);
}

auto EndpointCommander::follow(const GroupEndpoint &endpoint, std::uint64_t term,
                               const GroupEndpoint &primary) -> bool
{
    const auto request =
        FollowRequest{.exchangeId = this->newExchangeId(), .term = term, .primary = primary};
    return isAccepted(endpoint.address, encodeFollowRequest(request), request.exchangeId);
}

auto EndpointCommander::orders() -> EndpointOrders
{
    return EndpointOrders{
        .fence = [this](const GroupEndpoint &endpoint, const std::string & /*group*/,
                        std::uint64_t term) { return this->fence(endpoint, term); },
        .promote =
            [this](const GroupEndpoint &endpoint, const std::string & /*group*/, std::uint64_t term,
                   const std::vector<GroupEndpoint> &members) {
                return this->promote(endpoint, term, members);
            },
        .isPrimary = {},
        .follow =
            [this](const GroupEndpoint &endpoint, const std::string & /*group*/, std::uint64_t term,
                   const GroupEndpoint &primary) {
                return this->follow(endpoint, term, primary);
            }};
}

} // namespace auburnrail
