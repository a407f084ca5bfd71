#include <control/EndpointCommander.h>

#include <endpoint/ControlCodec.h>
#include <http/HttpConnection.h>

#include <absl/strings/str_cat.h>

namespace auburnrail {

namespace {

/// Sends a request whose response is a ControlResponse.
auto sendOrder(const std::string &address, const HttpRequest &request,
               const std::string &exchangeId) -> OrderAnswer
{
    const auto result = exchangeOnce(address, request, EndpointCommander::TIME_LIMIT_MS);
    if (result.phase != ExchangePhase::Answered)
        return answerWithout(result.phase);
    const auto response = decodeControlResponse(result.response);
    if (!response.ok() || response->exchangeId != exchangeId)
        return OrderAnswer::NoAnswer;
    return response->accepted ? OrderAnswer::Accepted : OrderAnswer::Refused;
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
    auto response = decodeFenceResponse(result.response, request.exchangeId);
    if (!response.ok())
        return std::nullopt;
    return *std::move(response);
}

auto EndpointCommander::promote(const GroupEndpoint &endpoint, std::uint64_t term,
                                const std::vector<GroupEndpoint> &members) -> OrderAnswer
{
    const auto request =
        PromoteRequest{.exchangeId = this->newExchangeId(), .term = term, .members = members};
    return sendOrder(endpoint.address, encodePromoteRequest(request), request.exchangeId);
}

auto EndpointCommander::follow(const GroupEndpoint &endpoint, std::uint64_t term,
                               const GroupEndpoint &primary) -> bool
{
    const auto request =
        FollowRequest{.exchangeId = this->newExchangeId(), .term = term, .primary = primary};
    return sendOrder(endpoint.address, encodeFollowRequest(request), request.exchangeId)
           == OrderAnswer::Accepted;
}

auto EndpointCommander::roleHooks() -> EndpointRoleHooks
{
    return EndpointRoleHooks{
        .fence = [this](const GroupEndpoint &endpoint, const std::string & /*group*/,
                        std::uint64_t term) { return this->fence(endpoint, term); },
        .promote =
            [this](const GroupEndpoint &endpoint, const std::string & /*group*/, std::uint64_t term,
                   const std::vector<GroupEndpoint> &members) {
                return this->promote(endpoint, term, members);
            },
        .status = {},
        .follow =
            [this](const GroupEndpoint &endpoint, const std::string & /*group*/, std::uint64_t term,
                   const GroupEndpoint &primary) { return this->follow(endpoint, term, primary); },
        .stopReplication = {}};
}

} // namespace auburnrail
