#ifndef AUBURNRAIL_OBSERVE_DETAIL_METRICFAMILY_H
#define AUBURNRAIL_OBSERVE_DETAIL_METRICFAMILY_H

#include <observe/MetricId.h>
#include <observe/MetricKind.h>

#include <core/Labels.h>

#include <map>
#include <string>

namespace auburnrail::detail {

/// All series of one metric.
struct MetricFamily
{
    MetricKind kind = MetricKind::Counter;
    std::string help;
    std::map<Labels, MetricId> series;
};

} // namespace auburnrail::detail

#endif
