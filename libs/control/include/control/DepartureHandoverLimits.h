#ifndef AUBURNRAIL_CONTROL_DEPARTUREHANDOVERLIMITS_H
#define AUBURNRAIL_CONTROL_DEPARTUREHANDOVERLIMITS_H

#include <core/Time.h>

#include <cstddef>

namespace auburnrail {

/// Durations and limits of the handover of leaving replicas.
struct DepartureHandoverLimits
{
    /// A departure is acknowledged this long after its first announcement at the latest: the
    /// process ends some seconds later in any case.
    Duration handoverLimit = std::chrono::milliseconds(1500);
    Duration checkInterval = std::chrono::milliseconds(100); ///< Between calls to one endpoint.
    /// Calls to endpoints under way at one time, for all departures. Each blocks a worker; the
    /// others are left to failovers.
    std::size_t maxCalls = 8;
    /// How long a departure that was acknowledged is remembered after its last announcement, to
    /// acknowledge that at once if it is repeated.
    Duration retention = std::chrono::seconds(60);
};

} // namespace auburnrail

#endif
