#include <Workload.h>

#include <core/TokenBucket.h>

#include <core/RandomSource.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace auburnrail {

namespace {

constexpr auto MOVE_INTERVAL = Duration(std::chrono::seconds(5));
constexpr auto WITHIN_LIMIT_FACTOR = 0.8;
constexpr auto OVERLOAD_FACTOR = 5.0;

// Long enough for the ideal token buckets to start full, like those of an organisation under light
// load.
constexpr auto WARM_UP = std::chrono::hours(1);

auto uniform(const RandomSource &random) -> double
{
    return static_cast<double>((random() >> 11) + 1) * 0x1p-53;
}

auto addArrivals(Workload &workload, const std::string &organisation, double perSecond,
                 const RandomSource &random) -> void
{
    auto entries = std::array<std::size_t, 3>{};
    auto movesAt = TimePoint();
    auto at = TimePoint();
    while (true) {
        at += Duration(static_cast<Duration::rep>(-std::log(uniform(random)) / perSecond * 1e9));
        if (at >= TimePoint(Workload::LENGTH))
            return;
        while (movesAt <= at) {
            for (auto &entry : entries)
                entry = random() % Workload::ENTRIES;
            movesAt += MOVE_INTERVAL;
        }
        workload.arrivals.push_back({at, organisation, entries[random() % entries.size()]});
    }
}

auto markWithinLimits(Workload &workload) -> void
{
    auto buckets = std::map<std::string, TokenBucket>();
    for (const auto &[organisation, limits] : workload.limits) {
        buckets.emplace(organisation, TokenBucket(static_cast<double>(limits.rate) / 1000,
                                                  static_cast<double>(limits.burst) / 1000,
                                                  TimePoint() - WARM_UP));
    }
    for (auto &arrival : workload.arrivals)
        arrival.withinLimits = buckets.at(arrival.organisation).tryTake(arrival.at);
}

} // namespace

auto makeWorkload(std::uint64_t seed) -> Workload
{
    const auto random = makeSeededRandom(seed);
    auto workload = Workload{.overloaded = "large-2"};
    workload.limits = {{"large-1", {200'000, 100'000}}, {"large-2", {200'000, 100'000}}};
    for (auto i = 1; i <= 6; ++i)
        workload.limits["small-" + std::to_string(i)] = {20'000, 10'000};
    for (const auto &[organisation, limits] : workload.limits) {
        const auto factor =
            organisation == workload.overloaded ? OVERLOAD_FACTOR : WITHIN_LIMIT_FACTOR;
        addArrivals(workload, organisation, factor * static_cast<double>(limits.rate) / 1000,
                    random);
    }
    std::stable_sort(workload.arrivals.begin(), workload.arrivals.end(),
                     [](const auto &left, const auto &right) { return left.at < right.at; });
    markWithinLimits(workload);
    return workload;
}

} // namespace auburnrail
