#ifndef AUBURNRAIL_QUOTA_DETAIL_ORGANISATIONSHARES_H
#define AUBURNRAIL_QUOTA_DETAIL_ORGANISATIONSHARES_H

#include <quota/HolderId.h>
#include <quota/ShareLimits.h>
#include <quota/detail/ShareClaim.h>

#include <core/Time.h>

#include <cstdint>
#include <map>
#include <optional>

namespace auburnrail::detail {

/// The ledger's state for one organisation.
struct OrganisationShares
{
    ShareLimits limits;
    std::map<HolderId, ShareClaim> claims;
    std::int64_t countedRate = 0;  ///< Sum over the claims.
    std::int64_t countedBurst = 0; ///< Sum over the claims.
    std::optional<TimePoint> allocatedAt;
};

} // namespace auburnrail::detail

#endif
