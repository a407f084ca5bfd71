#ifndef AUBURNRAIL_ROUTING_ENDPOINTCHOICE_H
#define AUBURNRAIL_ROUTING_ENDPOINTCHOICE_H

#include <routing/EndpointView.h>

#include <core/Time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string_view>

namespace auburnrail {

/// Chooses one of `candidates` (never empty) for an entry in `zone`. `randomValue` is uniformly
/// distributed. Has no state of its own.
using EndpointChoice = std::function<auto(std::span<const EndpointView> candidates,
                                          std::string_view zone, std::uint64_t randomValue)
                                         ->std::size_t>;

/// The less loaded of two candidates that are drawn with weights for zone proximity.
[[nodiscard]] auto makeLeastLoadedOfTwo() -> EndpointChoice;

/// Active and benchmarking groups by the moving average of response time (SIP 6, Fuller and von
/// Briesen 2017): work goes evenly to the endpoints near the best average, and a small part of it
/// to the others, which measures them.
[[nodiscard]] auto makeActiveBenchmarking() -> EndpointChoice;

/// The endpoint with the least work to wait for, where one in another zone counts as if it had
/// FARTHER_COST more: traffic between zones costs money and time, so that it is left to what a zone
/// can't serve itself.
[[nodiscard]] auto makeNearestFirst() -> EndpointChoice;

} // namespace auburnrail

#endif
