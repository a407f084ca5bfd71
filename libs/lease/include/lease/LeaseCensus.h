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
    std::optional<TimePoint> lastExpiry; ///< When a lease last expired; nothing if none has.
};

} // namespace auburnrail

#endif
