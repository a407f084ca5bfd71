#include <routing/EndpointChoice.h>

#include <algorithm>

namespace auburnrail {

namespace {

/// Added cost of another zone: several times the delay between zones, and about the wait behind two
/// typical statements.
constexpr auto CROSS_ZONE_COST = std::chrono::milliseconds(50);
/// Response time assumed before the first measurement.
constexpr auto UNMEASURED_RESPONSE_TIME = std::chrono::milliseconds(10);

auto cost(const EndpointView &endpoint, std::string_view zone) -> double
{
    const auto measured = endpoint.responseTime > Duration(0) ? endpoint.responseTime
                                                              : Duration(UNMEASURED_RESPONSE_TIME);
    const auto wait = static_cast<double>(measured.count()) * (endpoint.inFlight + 1.0)
                      / endpoint.slowStartFraction;
    const auto distance = endpoint.zone == zone ? Duration() : Duration(CROSS_ZONE_COST);
    return wait + static_cast<double>(distance.count());
}

auto chooseNearest(std::span<const EndpointView> candidates, std::string_view zone,
                   std::uint64_t /*randomValue*/) -> std::size_t
{
    const auto best = std::min_element(candidates.begin(), candidates.end(),
                                       [zone](const auto &left, const auto &right) {
                                           return cost(left, zone) < cost(right, zone);
                                       });
    return static_cast<std::size_t>(best - candidates.begin());
}

} // namespace

auto makeNearestFirst() -> EndpointChoice
{
    return chooseNearest;
}

} // namespace auburnrail
