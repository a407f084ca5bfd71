#include <ShareAllocation.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <string_view>
#include <vector>

namespace auburnrail::detail {

namespace {

constexpr auto TOKEN_MILLITOKENS = std::int64_t(1000);
constexpr auto GUARANTEED_FRACTION = 0.5;
constexpr auto SURPLUS_GRANTED_FRACTION = 0.75;

// The surplus is granted in proportion to demand. Each holder's weight also includes an equal part
// of this fraction of the limit, so that the bucket of an idle holder fills for its next request.
constexpr auto IDLE_WEIGHT_FRACTION = 0.1;

// Part of the limits that is divided into shares, by the tokens of burst for each holder that uses
// them. Shares of a few tokens are often empty while tokens are left at other holders, so half of
// the limits stays in the reserve then, and with fewer tokens everything does.
struct DivisionRule
{
    double minTokensPerUser;
    double part;
};
constexpr auto DIVISION_RULES = std::array{DivisionRule{10.0, 1.0}, DivisionRule{4.0, 0.5}};

// A larger part once chosen stays down to this fraction of its threshold, since every change moves
// all shares.
constexpr auto HYSTERESIS_FACTOR = 0.8;

/// Divides `amount` evenly, giving no one more than its need (max-min fairness).
auto allocateMaxMin(const std::vector<double> &needs, double amount) -> std::vector<double>
{
    auto order = std::vector<std::size_t>(needs.size());
    for (auto i = std::size_t(0); i < order.size(); ++i)
        order[i] = i;
    std::sort(order.begin(), order.end(),
              [&](auto left, auto right) { return needs[left] < needs[right]; });
    auto parts = std::vector<double>(needs.size(), 0.0);
    auto left = order.size();
    for (const auto index : order) {
        parts[index] = std::min(needs[index], amount / static_cast<double>(left));
        amount -= parts[index];
        --left;
    }
    return parts;
}

/// Fraction for each claim, summing to 1: divided evenly over zones, then within each zone.
auto spreadOverZones(const std::vector<ShareClaim *> &claims) -> std::vector<double>
{
    auto sizes = std::map<std::string_view, int>();
    for (const auto *claim : claims)
        ++sizes[claim->zone];
    auto parts = std::vector<double>();
    parts.reserve(claims.size());
    for (const auto *claim : claims)
        parts.push_back(1.0 / static_cast<double>(sizes.size()) / sizes[claim->zone]);
    return parts;
}

/// Sets the target rates. Returns the fraction of `total` that stays unallocated.
auto setRates(const std::vector<ShareClaim *> &chosen, const std::vector<double> &spread,
              double total) -> double
{
    auto guaranteed = std::vector<double>();
    auto needs = std::vector<double>();
    auto remaining = total;
    for (auto i = std::size_t(0); i < chosen.size(); ++i) {
        guaranteed.push_back(
            std::min(chosen[i]->demandRate, total * GUARANTEED_FRACTION * spread[i]));
        needs.push_back(chosen[i]->demandRate - guaranteed[i]);
        remaining -= guaranteed[i];
    }
    const auto parts = allocateMaxMin(needs, remaining);
    for (const auto part : parts)
        remaining -= part;
    const auto surplus = std::max(0.0, remaining);
    const auto idleWeight = total * IDLE_WEIGHT_FRACTION / static_cast<double>(chosen.size());
    auto weights = 0.0;
    for (const auto *claim : chosen)
        weights += claim->demandRate + idleWeight;
    for (auto i = std::size_t(0); i < chosen.size(); ++i) {
        const auto weight = weights > 0 ? (chosen[i]->demandRate + idleWeight) / weights : 0.0;
        chosen[i]->targetRate = static_cast<std::int64_t>(
            guaranteed[i] + parts[i] + surplus * SURPLUS_GRANTED_FRACTION * weight);
    }
    return total > 0 ? surplus * (1.0 - SURPLUS_GRANTED_FRACTION) / total : 0.0;
}

/// Sets the target bursts. `unallocatedFraction` is the fraction of the rate that stays
/// unallocated; the same fraction of the burst does.
auto setBursts(const std::vector<ShareClaim *> &chosen, const std::vector<double> &spread,
               double burst, double unallocatedFraction) -> void
{
    const auto token = static_cast<double>(TOKEN_MILLITOKENS);
    auto remaining = burst - token * static_cast<double>(chosen.size());
    auto wanted = std::vector<double>();
    auto wantedSum = 0.0;
    auto rateSum = 0.0;
    for (auto i = std::size_t(0); i < chosen.size(); ++i) {
        wanted.push_back(std::max(0.0, burst * GUARANTEED_FRACTION * spread[i] - token));
        wantedSum += wanted.back();
        rateSum += static_cast<double>(chosen[i]->targetRate);
    }
    const auto scale = wantedSum > remaining ? remaining / wantedSum : 1.0;
    remaining = std::max(0.0, remaining - wantedSum * scale - burst * unallocatedFraction);
    for (auto i = std::size_t(0); i < chosen.size(); ++i) {
        const auto byRate =
            rateSum > 0 ? remaining * static_cast<double>(chosen[i]->targetRate) / rateSum : 0.0;
        chosen[i]->targetBurst = static_cast<std::int64_t>(token + wanted[i] * scale + byRate);
    }
}

auto partToDivide(const OrganisationShares &shares) -> double
{
    const auto users = static_cast<double>(std::max<std::size_t>(shares.users.size(), 1));
    const auto tokensPerUser =
        static_cast<double>(shares.limits.burst) / static_cast<double>(TOKEN_MILLITOKENS) / users;
    for (const auto &rule : DIVISION_RULES) {
        const auto factor = shares.dividedPart >= rule.part ? HYSTERESIS_FACTOR : 1.0;
        if (tokensPerUser >= factor * rule.minTokensPerUser)
            return rule.part;
    }
    return 0.0;
}

} // namespace

auto allocateShares(OrganisationShares &shares) -> void
{
    auto active = std::vector<ShareClaim *>();
    for (auto &[holder, claim] : shares.claims) {
        claim.targetRate = 0;
        claim.targetBurst = 0;
        if (claim.active)
            active.push_back(&claim);
    }
    shares.dividedPart = partToDivide(shares);
    if (shares.dividedPart <= 0 || active.empty())
        return;
    const auto spread = spreadOverZones(active);
    const auto unallocated =
        setRates(active, spread, static_cast<double>(shares.limits.rate) * shares.dividedPart);
    setBursts(active, spread, static_cast<double>(shares.limits.burst) * shares.dividedPart,
              unallocated);
}

} // namespace auburnrail::detail
