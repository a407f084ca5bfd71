#ifndef AUBURNRAIL_REQUEST_OBJECTIVETIME_H
#define AUBURNRAIL_REQUEST_OBJECTIVETIME_H

#include <core/Time.h>

namespace auburnrail {

/// A short operation takes about this long from the end of its wait to its answer.
inline constexpr auto SERVICE_TIME_MS = std::chrono::milliseconds(60);

/// Whether a request that ends its wait now is likely to miss its latency objective. After an
/// overload, requests that will miss it anyway wait for those that can still meet it; in order of
/// arrival alone, each would miss it until the backlog is gone.
[[nodiscard]] inline auto missesObjective(TimePoint objectiveEnd, TimePoint now) -> bool
{
    return now + SERVICE_TIME_MS > objectiveEnd;
}

} // namespace auburnrail

#endif
