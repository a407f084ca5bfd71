#include <routing/EndpointChoice.h>

#include <algorithm>
#include <vector>

namespace auburnrail {

namespace {

/// An endpoint is active while its average response time is within this multiple of the best one.
constexpr auto ACTIVE_RANGE = 2.0;
/// One in this many requests goes to an endpoint outside the active group, to measure it.
constexpr auto BENCHMARK_ONE_IN = std::uint64_t{20};

auto chooseByGroup(std::span<const EndpointView> candidates, std::string_view /*zone*/,
                   std::uint64_t randomValue) -> std::size_t
{
    const auto best = std::min_element(candidates.begin(), candidates.end(),
                                       [](const EndpointView &left, const EndpointView &right) {
                                           return left.responseTime < right.responseTime;
                                       })
                          ->responseTime;
    auto active = std::vector<std::size_t>();
    auto benchmarking = std::vector<std::size_t>();
    for (auto i = std::size_t{0}; i < candidates.size(); ++i) {
        const auto &endpoint = candidates[i];
        const auto inRange = static_cast<double>(endpoint.responseTime.count())
                             <= static_cast<double>(best.count()) * ACTIVE_RANGE;
        (inRange && endpoint.slowStartFraction >= 1.0 ? active : benchmarking).push_back(i);
    }
    const auto measure = randomValue % BENCHMARK_ONE_IN == 0;
    const auto &group =
        active.empty() || (measure && !benchmarking.empty()) ? benchmarking : active;
    return group[(randomValue / BENCHMARK_ONE_IN) % group.size()];
}

} // namespace

auto makeActiveBenchmarking() -> EndpointChoice
{
    return chooseByGroup;
}

} // namespace auburnrail
