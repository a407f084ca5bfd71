#include "FailoverGap.h"

namespace auburnrail::detail {

auto failoverGap(const FailoverRecord &record, const FailoverLimits &limits)
    -> std::optional<Duration>
{
    if (!record.completed || record.cause == FailoverCause::Initial || record.phases.empty())
        return std::nullopt;
    const auto length = record.endedAt - record.phases.front().startedAt;
    return record.cause == FailoverCause::Suspicion ? length + limits.suspicionThreshold : length;
}

} // namespace auburnrail::detail
