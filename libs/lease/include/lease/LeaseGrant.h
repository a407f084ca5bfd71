#ifndef AUBURNRAIL_LEASE_LEASEGRANT_H
#define AUBURNRAIL_LEASE_LEASEGRANT_H

#include <lease/LeaseStatus.h>

#include <core/Revision.h>
#include <core/Time.h>

namespace auburnrail {

/// Part of the reply to a heartbeat.
struct LeaseGrant
{
    LeaseStatus status = LeaseStatus::NotLeader;
    Duration duration{}; ///< From the send time of the heartbeat; zero when not granted.

    /// The holder may use the lease only when its state is at this revision or a later one.
    Revision minimumRevision = 0;

    auto operator==(const LeaseGrant &) const -> bool = default;
};

} // namespace auburnrail

#endif
