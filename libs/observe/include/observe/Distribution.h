#ifndef AUBURNRAIL_OBSERVE_DISTRIBUTION_H
#define AUBURNRAIL_OBSERVE_DISTRIBUTION_H

#include <observe/DistributionSummary.h>

#include <memory>

namespace auburnrail {

/// Count, mean, maximum and quantiles of a stream of values in constant memory. Quantiles are exact
/// for the first few values and then estimated with the extended P² algorithm (Jain and Chlamtac
/// 1985). Thread rule: guarded by its owner.
class Distribution
{
public:
    Distribution();
    Distribution(Distribution &&) noexcept;
    auto operator=(Distribution &&) noexcept -> Distribution &;
    Distribution(const Distribution &) = delete;
    auto operator=(const Distribution &) -> Distribution & = delete;
    ~Distribution();

    auto add(double value) -> void;
    [[nodiscard]] auto summary() const -> DistributionSummary;

private:
    struct State;

    std::unique_ptr<State> state;
};

} // namespace auburnrail

#endif
