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

/// Load-balancing policy: returns the index of one of `candidates` (never empty) for an entry in
/// `zone`. `randomValue` is uniformly distributed. Stateless.
using EndpointChoice = std::function<auto(std::span<const EndpointView> candidates,
                                          std::string_view zone, std::uint64_t randomValue)
                                         ->std::size_t>;

/// Power of two choices: the less loaded of two candidates that are drawn at random, with a greater
/// weight for those in the entry's zone.
[[nodiscard]] auto makeLeastLoadedOfTwo() -> EndpointChoice;

/// Active and benchmarking groups by the moving average of response time (SIP 6, Fuller and von
/// Briesen 2017): requests are spread evenly over the endpoints whose average is near the best one,
/// and a small fraction goes to the others in order to measure them.
[[nodiscard]] auto makeActiveBenchmarking() -> EndpointChoice;

/// The endpoint with the least expected wait, with CROSS_ZONE_COST added for endpoints in other
/// zones. Cross-zone traffic costs money and time, so it is used only for load that the own zone
/// can't serve.
[[nodiscard]] auto makeNearestFirst() -> EndpointChoice;

/// Random, in proportion to how soon an endpoint is expected to respond. What is known of an
/// endpoint counts the less the older it is. Answers many entries that choose at the same moment by
/// the same knowledge: whoever takes the best endpoint overloads it with the others, and then moves
/// on with them.
[[nodiscard]] auto makeEvenLoad() -> EndpointChoice;

} // namespace auburnrail

#endif
