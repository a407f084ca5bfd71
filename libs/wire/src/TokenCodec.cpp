#include "TokenCodec.h"

#include <algorithm>
#include <chrono>

namespace auburnrail::detail {

namespace {

auto toMicros(Duration length) -> std::int64_t
{
    return std::chrono::ceil<std::chrono::microseconds>(length).count();
}

/// Counts are never negative; a damaged message could contain such a number.
auto toCount(std::int32_t count) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::max(count, 0));
}

} // namespace

auto toMessage(const TokenRequest &request) -> thriftgen::TokenRequestMessage
{
    auto message = thriftgen::TokenRequestMessage();
    message.instance = request.holder.instance;
    message.incarnation = static_cast<std::int64_t>(request.holder.incarnation);
    for (const auto &demand : request.demands) {
        auto &row = message.demands.emplace_back();
        row.organisation = demand.organisation;
        row.tokens = static_cast<std::int32_t>(demand.tokens);
    }
    return message;
}

auto fromMessage(const thriftgen::TokenRequestMessage &message) -> TokenRequest
{
    auto request =
        TokenRequest{.holder = {.instance = message.instance,
                                .incarnation = static_cast<std::uint64_t>(message.incarnation)},
                     .demands = {}};
    for (const auto &row : message.demands)
        request.demands.push_back(
            TokenDemand{.organisation = row.organisation, .tokens = toCount(row.tokens)});
    return request;
}

auto toMessage(const TokenResponse &response) -> thriftgen::TokenResponseMessage
{
    auto message = thriftgen::TokenResponseMessage();
    message.granting = response.granting;
    for (const auto &grant : response.grants) {
        auto &row = message.grants.emplace_back();
        row.organisation = grant.organisation;
        row.tokens = static_cast<std::int32_t>(grant.tokens);
        if (grant.wait)
            row.__set_waitMicros(toMicros(*grant.wait));
        row.intervalMicros = toMicros(grant.interval);
    }
    return message;
}

auto fromMessage(const thriftgen::TokenResponseMessage &message) -> TokenResponse
{
    auto response = TokenResponse{.granting = message.granting, .grants = {}};
    for (const auto &row : message.grants) {
        auto grant = TokenGrant{.organisation = row.organisation,
                                .tokens = toCount(row.tokens),
                                .wait = {},
                                .interval = std::chrono::microseconds(row.intervalMicros)};
        if (row.__isset.waitMicros)
            grant.wait = std::chrono::microseconds(row.waitMicros);
        response.grants.push_back(std::move(grant));
    }
    return response;
}

} // namespace auburnrail::detail
