#include <observe/Distribution.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace auburnrail {

namespace {

namespace acc = boost::accumulators;

using Accumulators =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::mean,
                                            acc::tag::max, acc::tag::extended_p_square>>;

// The algorithm has no estimate before it has one value for each of its markers.
constexpr auto MARKERS = 2 * QUANTILES.size() + 3;

} // namespace

struct Distribution::State
{
    Accumulators accumulators{acc::extended_p_square_probabilities = QUANTILES};
    std::array<double, MARKERS> first{};
};

Distribution::Distribution()
    : state(std::make_unique<State>())
{
}

Distribution::Distribution(Distribution &&) noexcept = default;
auto Distribution::operator=(Distribution &&) noexcept -> Distribution & = default;
Distribution::~Distribution() = default;

auto Distribution::add(double value) -> void
{
    const auto count = acc::count(this->state->accumulators);
    if (count < MARKERS)
        this->state->first[count] = value;
    this->state->accumulators(value);
}

auto Distribution::summary() const -> DistributionSummary
{
    const auto &accumulators = this->state->accumulators;
    auto summary = DistributionSummary{.count = acc::count(accumulators)};
    if (summary.count == 0)
        return summary;
    summary.sum = acc::sum(accumulators);
    summary.mean = acc::mean(accumulators);
    summary.max = acc::max(accumulators);
    auto first = this->state->first;
    const auto known = std::min<std::size_t>(summary.count, MARKERS);
    std::sort(first.begin(), first.begin() + static_cast<std::ptrdiff_t>(known));
    for (auto i = std::size_t(0); i < QUANTILES.size(); ++i) {
        const auto rank = std::ceil(QUANTILES[i] * static_cast<double>(known));
        summary.quantiles[i] =
            summary.count <= MARKERS
                ? first[static_cast<std::size_t>(rank) - 1]
                : acc::extended_p_square(accumulators)[static_cast<std::ptrdiff_t>(i)];
    }
    return summary;
}

} // namespace auburnrail
