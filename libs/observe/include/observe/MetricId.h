#ifndef AUBURNRAIL_OBSERVE_METRICID_H
#define AUBURNRAIL_OBSERVE_METRICID_H

#include <cstddef>

namespace auburnrail {

/// Names one series of a Metrics registry.
using MetricId = std::size_t;

} // namespace auburnrail

#endif
