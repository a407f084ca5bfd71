#ifndef AUBURNRAIL_QUOTA_DETAIL_ORGANISATIONSHARES_H
#define AUBURNRAIL_QUOTA_DETAIL_ORGANISATIONSHARES_H

#include <quota/HolderId.h>
#include <quota/ShareLimits.h>
#include <quota/detail/LimitUser.h>
#include <quota/detail/ShareClaim.h>
#include <quota/detail/TokenReserve.h>

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
    TokenReserve reserve;                ///< What no claim counts.
    std::map<HolderId, LimitUser> users; ///< Holders whose requests use the limits.
    double dividedPart = 1.0;            ///< Part of the limits that is divided into shares.
};

} // namespace auburnrail::detail

#endif
