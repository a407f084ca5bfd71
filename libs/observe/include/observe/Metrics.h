#ifndef AUBURNRAIL_OBSERVE_METRICS_H
#define AUBURNRAIL_OBSERVE_METRICS_H

#include <observe/MetricId.h>
#include <observe/MetricKind.h>
#include <observe/detail/MetricFamily.h>
#include <observe/detail/MetricSeries.h>

#include <core/Labels.h>
#include <core/RankedMutex.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// Registry of the metrics of one process.
///
/// Use: register each series once and keep its id; `add`, `set` and `record` then cost an index and
/// a lock. Memory is bounded: past `seriesLimit` a new series falls into the one of its metric that
/// is labelled overflow="true". Thread rule: all operations are safe from any thread.
class Metrics
{
public:
    explicit Metrics(std::size_t seriesLimit);

    /// Registers the series `name` with `labels`, or finds it. `name` matches [a-z_][a-z0-9_]* and
    /// has one kind; a name in use with another kind is an error of the caller (asserted).
    auto series(MetricKind kind, std::string_view name, std::string_view help, Labels labels = {})
        -> MetricId;

    /// Adds to a counter; `amount` is not negative.
    auto add(MetricId id, double amount = 1) -> void;

    /// Sets a gauge.
    auto set(MetricId id, double value) -> void;

    /// Adds a value to a distribution, in the unit that the metric's name states.
    auto record(MetricId id, double value) -> void;

    /// All series in the text exposition format, version 0.0.4. A distribution is a summary, and
    /// its maximum is a gauge with the suffix _max.
    [[nodiscard]] auto toText() -> std::string;

private:
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto printDistributions(const std::string &name, const detail::MetricFamily &family,
                            std::string &text) const -> void;

    const std::size_t seriesLimit;
    RankedMutex mutex{LockRank::Metrics};
    std::map<std::string, detail::MetricFamily, std::less<>> families ABSL_GUARDED_BY(mutex);
    std::vector<detail::MetricSeries> rows ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
