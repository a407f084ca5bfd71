#ifndef AUBURNRAIL_LEASE_LEASECENSUS_H
#define AUBURNRAIL_LEASE_LEASECENSUS_H

#include <lease/LeaseId.h>

#include <core/Time.h>

#include <optional>
#include <vector>

namespace auburnrail {

/// The live leases at one time.
struct LeaseCensus
{
    std::vector<LeaseId> holders;
    /// When a lease last expired whose holder has none now; nothing if there is no such holder.
    std::optional<TimePoint> lastExpiry;
};

} // namespace auburnrail

#endif
