#ifndef AUBURNRAIL_REQUEST_OBJECTIVETIME_H
#define AUBURNRAIL_REQUEST_OBJECTIVETIME_H

#include <core/Time.h>

namespace auburnrail {

/// Typical time of a short operation from the end of its wait to its response.
inline constexpr auto EXPECTED_SERVICE_TIME_MS = std::chrono::milliseconds(60);

/// Whether a request that ends its wait now is likely to miss its latency objective. After an
/// overload, requests that will miss it anyway yield to those that can still meet it; in plain
/// order of arrival, every request would miss it until the backlog is drained.
[[nodiscard]] inline auto missesObjective(TimePoint objectiveEnd, TimePoint now) -> bool
{
    return now + EXPECTED_SERVICE_TIME_MS > objectiveEnd;
}

} // namespace auburnrail

#endif
