#ifndef AUBURNRAIL_QUOTA_DETAIL_HOLDERRECORD_H
#define AUBURNRAIL_QUOTA_DETAIL_HOLDERRECORD_H

#include <core/Time.h>

#include <cstdint>
#include <set>
#include <string>

namespace auburnrail::detail {

/// The ledger's state for one holder.
struct HolderRecord
{
    std::string zone;
    std::uint64_t sequence = 0; ///< Of the last report.
    TimePoint expiresAt;        ///< When the lease has ended on any clock.
    bool notified = false;      ///< That its grant is ready, since its last report.
    std::set<std::string, std::less<>>
        organisations; ///< Organisations with a claim of this holder.
};

} // namespace auburnrail::detail

#endif
