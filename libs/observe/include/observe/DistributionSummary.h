#ifndef AUBURNRAIL_OBSERVE_DISTRIBUTIONSUMMARY_H
#define AUBURNRAIL_OBSERVE_DISTRIBUTIONSUMMARY_H

#include <array>
#include <cstdint>

namespace auburnrail {

/// Quantiles that a Distribution estimates.
inline constexpr auto QUANTILES = std::to_array<double>({0.5, 0.95, 0.99});

/// What a Distribution says of its values. All zero without values.
struct DistributionSummary
{
    std::uint64_t count = 0;
    double sum = 0;
    double mean = 0;
    double max = 0;
    std::array<double, QUANTILES.size()> quantiles{}; ///< In the order of QUANTILES.
};

} // namespace auburnrail

#endif
