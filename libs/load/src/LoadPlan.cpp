#include <load/LoadPlan.h>

#include <algorithm>
#include <cmath>

namespace auburnrail {

namespace {

constexpr auto MANTISSA_BITS = 53;

/// Uniform in (0, 1].
auto drawUnit(const RandomSource &random) -> double
{
    return std::ldexp(static_cast<double>((random() >> 11) + 1), -MANTISSA_BITS);
}

auto drawKind(const LoadProfile &profile, const RandomSource &random) -> LoadKind
{
    auto left = drawUnit(random);
    for (const auto &[kind, share] : {std::pair(LoadKind::Read, profile.readShare),
                                      std::pair(LoadKind::AgedRead, profile.agedReadShare),
                                      std::pair(LoadKind::Transaction, profile.transactionShare)}) {
        if (left <= share)
            return kind;
        left -= share;
    }
    return LoadKind::Write;
}

} // namespace

auto planLoad(const LoadProfile &profile, Duration length, const RandomSource &random)
    -> std::vector<PlannedRequest>
{
    auto plan = std::vector<PlannedRequest>();
    for (auto i = std::size_t(0); i < profile.organisations.size(); ++i) {
        const auto &organisation = profile.organisations[i];
        const auto meanSeconds = 1.0 / (organisation.rate * organisation.sentShare);
        auto at = Duration::zero();
        while (true) {
            at += std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(-std::log(drawUnit(random)) * meanSeconds));
            if (at >= length)
                break;
            const auto session =
                i * profile.sessionsPerOrganisation + random() % profile.sessionsPerOrganisation;
            plan.push_back(PlannedRequest{.at = at,
                                          .kind = drawKind(profile, random),
                                          .organisation = i,
                                          .session = session,
                                          .service = session % profile.services.size()});
        }
    }
    std::stable_sort(plan.begin(), plan.end(),
                     [](const auto &left, const auto &right) { return left.at < right.at; });
    for (auto i = std::size_t(0); i < plan.size(); ++i)
        plan[i].id = i + 1;
    return plan;
}

} // namespace auburnrail
