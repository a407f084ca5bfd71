#ifndef AUBURNRAIL_QUOTA_BENCHMARKS_SCHEMES_H
#define AUBURNRAIL_QUOTA_BENCHMARKS_SCHEMES_H

#include <Scheme.h>
#include <Workload.h>

#include <core/VirtualScheduler.h>

namespace auburnrail {

/// Shares granted by a leader in the first zone, 4 ms one way from the entries, over long-polling
/// heartbeats.
[[nodiscard]] auto makeShareLedgerScheme(const Workload &workload, VirtualScheduler &scheduler)
    -> Scheme;

/// Each entry has a ninth of each rate and burst.
[[nodiscard]] auto makeFixedScheme(const Workload &workload, VirtualScheduler &scheduler) -> Scheme;

/// One token bucket per organisation at the leader, which entries query for each request.
[[nodiscard]] auto makeCentralScheme(const Workload &workload, VirtualScheduler &scheduler)
    -> Scheme;

} // namespace auburnrail

#endif
