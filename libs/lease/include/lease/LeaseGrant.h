#ifndef AUBURNRAIL_LEASE_LEASEGRANT_H
#define AUBURNRAIL_LEASE_LEASEGRANT_H

#include <lease/LeaseStatus.h>

#include <core/Revision.h>
#include <core/Time.h>

namespace auburnrail {

/// The lease part of a heartbeat response.
struct LeaseGrant
{
    LeaseStatus status = LeaseStatus::NotLeader;
    Duration duration{}; ///< Starts when the heartbeat was sent; zero when not granted.

    /// The holder may use the lease only once it has applied this revision or a later one.
    Revision minimumRevision = 0;

    auto operator==(const LeaseGrant &) const -> bool = default;
};

} // namespace auburnrail

#endif
