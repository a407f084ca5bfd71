#include <routing/EndpointChoice.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace auburnrail {

namespace {

/// Added cost of another zone: the way there and back, and the price of traffic between zones. Less
/// than for makeNearestFirst(), where it is all that keeps load in its zone.
constexpr auto CROSS_ZONE_COST = std::chrono::milliseconds(15);

/// Response time assumed before the first measurement.
constexpr auto UNMEASURED_RESPONSE_TIME = std::chrono::milliseconds(10);

/// A measurement of this age counts half; the other half is the mean of all candidates. About the
/// time in which a queue of a few dozen statements comes and goes.
constexpr auto HALF_LIFE = std::chrono::milliseconds(400);

/// How much more often the cheaper of two endpoints is chosen: twice the cost, an eighth of the
/// load.
constexpr auto PREFERENCE_EXPONENT = 3.0;

auto toDouble(Duration length) -> double
{
    return static_cast<double>(length.count());
}

auto measuredTime(const EndpointView &endpoint) -> double
{
    return toDouble(endpoint.responseTime > Duration(0) ? endpoint.responseTime
                                                        : Duration(UNMEASURED_RESPONSE_TIME));
}

auto weightOf(const EndpointView &endpoint, std::string_view zone, double meanTime) -> double
{
    const auto trust = std::exp2(-toDouble(endpoint.responseAge) / toDouble(HALF_LIFE));
    const auto time = trust * measuredTime(endpoint) + (1 - trust) * meanTime;
    const auto distance = endpoint.zone == zone ? Duration() : Duration(CROSS_ZONE_COST);
    const auto cost = time * (endpoint.inFlight + 1.0) + toDouble(distance);
    return endpoint.slowStartFraction * std::pow(cost, -PREFERENCE_EXPONENT);
}

auto chooseInProportion(std::span<const EndpointView> candidates, std::string_view zone,
                        std::uint64_t randomValue) -> std::size_t
{
    const auto totalTime = std::accumulate(
        candidates.begin(), candidates.end(), 0.0,
        [](double sum, const EndpointView &endpoint) { return sum + measuredTime(endpoint); });
    const auto meanTime = totalTime / static_cast<double>(candidates.size());
    auto bounds = std::vector<double>();
    auto total = 0.0;
    for (const auto &candidate : candidates) {
        total += weightOf(candidate, zone, meanTime);
        bounds.push_back(total);
    }
    const auto point = std::ldexp(static_cast<double>(randomValue), -64) * total;
    const auto chosen = std::upper_bound(bounds.begin(), bounds.end(), point);
    // Rounding may put the point at the very end.
    return std::min(static_cast<std::size_t>(chosen - bounds.begin()), candidates.size() - 1);
}

} // namespace

auto makeEvenLoad() -> EndpointChoice
{
    return chooseInProportion;
}

} // namespace auburnrail
