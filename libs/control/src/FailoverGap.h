#ifndef AUBURNRAIL_CONTROL_FAILOVERGAP_H
#define AUBURNRAIL_CONTROL_FAILOVERGAP_H

#include <failover/FailoverLimits.h>
#include <failover/FailoverRecord.h>

#include <optional>

namespace auburnrail::detail {

/// How long the failover left its group without a primary, as far as this member saw it: a lower
/// bound when another member began it. A suspected primary was unreachable for `suspicionThreshold`
/// before the failover began. Nothing for a group's first primary, and for a failover that did not
/// complete, which a later record continues.
[[nodiscard]] auto failoverGap(const FailoverRecord &record, const FailoverLimits &limits)
    -> std::optional<Duration>;

} // namespace auburnrail::detail

#endif
