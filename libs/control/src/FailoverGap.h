#ifndef AUBURNRAIL_CONTROL_FAILOVERGAP_H
#define AUBURNRAIL_CONTROL_FAILOVERGAP_H

#include <failover/FailoverLimits.h>
#include <failover/FailoverRecord.h>

#include <optional>

namespace auburnrail::detail {

/// How long the failover left its group without a primary, as observed by this member: a lower
/// bound when another member began the failover. Includes `suspicionThreshold` after a suspicion,
/// because the primary was unreachable for that long before the failover began. Nothing for a
/// group's first primary, and nothing for a failover that did not complete, because a later record
/// continues it.
[[nodiscard]] auto failoverGap(const FailoverRecord &record, const FailoverLimits &limits)
    -> std::optional<Duration>;

} // namespace auburnrail::detail

#endif
