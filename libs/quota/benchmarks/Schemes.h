#ifndef AUBURNRAIL_QUOTA_BENCHMARKS_SCHEMES_H
#define AUBURNRAIL_QUOTA_BENCHMARKS_SCHEMES_H

#include <Scheme.h>
#include <Workload.h>

#include <core/VirtualScheduler.h>

namespace auburnrail {

/// Shares lent by a leader in the first zone, 4 ms away from entries, over held heartbeats.
[[nodiscard]] auto makeLendingScheme(const Workload &workload, VirtualScheduler &scheduler)
    -> Scheme;

/// Each entry has a ninth of each rate and burst.
[[nodiscard]] auto makeFixedScheme(const Workload &workload, VirtualScheduler &scheduler) -> Scheme;

/// One bucket for each organisation at the leader, asked for each request.
[[nodiscard]] auto makeCentralScheme(const Workload &workload, VirtualScheduler &scheduler)
    -> Scheme;

} // namespace auburnrail

#endif
