#ifndef AUBURNRAIL_QUOTA_BENCHMARKS_COMPARISON_H
#define AUBURNRAIL_QUOTA_BENCHMARKS_COMPARISON_H

#include <Scheme.h>
#include <Workload.h>

#include <http/JsonWriter.h>

#include <core/VirtualScheduler.h>

namespace auburnrail {

/// Runs `workload` against `scheme` and returns the measured figures.
[[nodiscard]] auto runComparison(const Workload &workload, const Scheme &scheme,
                                 VirtualScheduler &scheduler) -> JsonWriter;

} // namespace auburnrail

#endif
