#include <ShareAllocation.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>
#include <tuple>
#include <vector>

namespace auburnrail::detail {

namespace {

constexpr auto TOKEN_MILLI = std::int64_t(1000);
constexpr auto GUARANTEED_PART = 0.5;
constexpr auto SPARE_LENT_PART = 0.75;

// Spare parts follow demand, but an idle holder counts as if all idle ones together wanted this
// part of the limit, so that its bucket fills for the next request.
constexpr auto IDLE_WEIGHT_PART = 0.1;

// Part of the burst that holders without demand may keep, one token each.
constexpr auto IDLE_BURST_PART = 0.25;

// Shortest time that a holder keeps a share which others wait for in turn; it has to be longer than
// a hand-over, which takes about two heartbeats.
constexpr auto SHORTEST_TURN = Duration(std::chrono::seconds(1));

// A turn is long enough to fill this many tokens.
constexpr auto TOKENS_PER_TURN = 2.0;

/// Takes even parts of `amount`, none greater than its need (max-min fairness).
auto fillEvenly(const std::vector<double> &needs, double amount) -> std::vector<double>
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

/// Part of 1 for each claim: evenly over zones, then evenly within a zone.
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

/// The claims that get a share: those with demand, in turns when they are more than `places`, and
/// as many idle ones as leave most of the burst to the others.
auto choose(const std::vector<ShareClaim *> &active, std::size_t places, const ShareLimits &limits,
            TimePoint now) -> std::vector<ShareClaim *>
{
    auto chosen = active;
    const auto wanting = static_cast<std::size_t>(std::count_if(
        active.begin(), active.end(), [](const auto *claim) { return claim->wantedRate > 0; }));
    const auto count = std::min(
        {active.size(), places,
         wanting + static_cast<std::size_t>(IDLE_BURST_PART * static_cast<double>(places))});
    if (active.size() > count) {
        const auto rate = static_cast<double>(std::max<std::int64_t>(limits.rate, 1));
        const auto turnS =
            std::min(3600.0, TOKENS_PER_TURN * static_cast<double>(places * TOKEN_MILLI) / rate);
        const auto turn =
            std::max(SHORTEST_TURN, Duration(static_cast<Duration::rep>(turnS * 1e9)));
        const auto rank = [&](const ShareClaim *claim) {
            const auto inTurn = claim->chosen && claim->chosenAt && now - *claim->chosenAt < turn;
            return std::tuple(claim->wantedRate <= 0, !inTurn, claim->chosenAt.has_value(),
                              claim->chosenAt.value_or(TimePoint()));
        };
        std::stable_sort(chosen.begin(), chosen.end(), [&](const auto *left, const auto *right) {
            return rank(left) < rank(right);
        });
    }
    for (auto i = std::size_t(0); i < chosen.size(); ++i) {
        if (i < count && !chosen[i]->chosen)
            chosen[i]->chosenAt = now;
        chosen[i]->chosen = i < count;
    }
    chosen.resize(count);
    return chosen;
}

/// Part of `total` that no one gets.
auto setRates(const std::vector<ShareClaim *> &chosen, const std::vector<double> &spread,
              double total) -> double
{
    auto assured = std::vector<double>();
    auto needs = std::vector<double>();
    auto rest = total;
    for (auto i = std::size_t(0); i < chosen.size(); ++i) {
        assured.push_back(std::min(chosen[i]->wantedRate, total * GUARANTEED_PART * spread[i]));
        needs.push_back(chosen[i]->wantedRate - assured[i]);
        rest -= assured[i];
    }
    const auto parts = fillEvenly(needs, rest);
    for (const auto part : parts)
        rest -= part;
    const auto spare = std::max(0.0, rest);
    const auto idleWeight = total * IDLE_WEIGHT_PART / static_cast<double>(chosen.size());
    auto weights = 0.0;
    for (const auto *claim : chosen)
        weights += claim->wantedRate + idleWeight;
    for (auto i = std::size_t(0); i < chosen.size(); ++i) {
        const auto weight = weights > 0 ? (chosen[i]->wantedRate + idleWeight) / weights : 0.0;
        chosen[i]->targetRate =
            static_cast<std::int64_t>(assured[i] + parts[i] + spare * SPARE_LENT_PART * weight);
    }
    return total > 0 ? spare * (1.0 - SPARE_LENT_PART) / total : 0.0;
}

/// `unlentPart` is the part of the rate that stays unlent; the same part of the burst does.
auto setBursts(const std::vector<ShareClaim *> &chosen, const std::vector<double> &spread,
               double burst, double unlentPart) -> void
{
    const auto token = static_cast<double>(TOKEN_MILLI);
    auto rest = burst - token * static_cast<double>(chosen.size());
    auto wanted = std::vector<double>();
    auto wantedSum = 0.0;
    auto rateSum = 0.0;
    for (auto i = std::size_t(0); i < chosen.size(); ++i) {
        wanted.push_back(std::max(0.0, burst * GUARANTEED_PART * spread[i] - token));
        wantedSum += wanted.back();
        rateSum += static_cast<double>(chosen[i]->targetRate);
    }
    const auto scale = wantedSum > rest ? rest / wantedSum : 1.0;
    rest = std::max(0.0, rest - wantedSum * scale - burst * unlentPart);
    for (auto i = std::size_t(0); i < chosen.size(); ++i) {
        const auto byRate =
            rateSum > 0 ? rest * static_cast<double>(chosen[i]->targetRate) / rateSum : 0.0;
        chosen[i]->targetBurst = static_cast<std::int64_t>(token + wanted[i] * scale + byRate);
    }
}

} // namespace

auto allocateShares(OrganisationShares &shares, TimePoint now) -> void
{
    auto active = std::vector<ShareClaim *>();
    for (auto &[holder, claim] : shares.claims) {
        claim.targetRate = 0;
        claim.targetBurst = 0;
        if (claim.active)
            active.push_back(&claim);
        else
            claim.chosen = false;
    }
    const auto places = static_cast<std::size_t>(std::max<std::int64_t>(0, shares.limits.burst))
                        / static_cast<std::size_t>(TOKEN_MILLI);
    const auto chosen = choose(active, places, shares.limits, now);
    if (chosen.empty())
        return;
    const auto spread = spreadOverZones(chosen);
    const auto unlent = setRates(chosen, spread, static_cast<double>(shares.limits.rate));
    setBursts(chosen, spread, static_cast<double>(shares.limits.burst), unlent);
}

} // namespace auburnrail::detail
