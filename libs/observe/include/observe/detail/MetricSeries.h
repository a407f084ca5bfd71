#ifndef AUBURNRAIL_OBSERVE_DETAIL_METRICSERIES_H
#define AUBURNRAIL_OBSERVE_DETAIL_METRICSERIES_H

#include <observe/Distribution.h>

#include <core/Labels.h>

#include <optional>

namespace auburnrail::detail {

/// One series of a metric.
struct MetricSeries
{
    Labels labels;
    double value = 0;                         ///< Of a counter or gauge.
    std::optional<Distribution> distribution; ///< Of a distribution.
};

} // namespace auburnrail::detail

#endif
