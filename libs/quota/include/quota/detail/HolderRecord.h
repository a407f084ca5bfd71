#ifndef AUBURNRAIL_QUOTA_DETAIL_HOLDERRECORD_H
#define AUBURNRAIL_QUOTA_DETAIL_HOLDERRECORD_H

#include <core/Time.h>

#include <cstdint>
#include <set>
#include <string>

namespace auburnrail::detail {

/// What the ledger knows of one holder.
struct HolderRecord
{
    std::string zone;
    std::uint64_t sequence = 0;                       ///< Of the last report.
    TimePoint expiresAt;                              ///< When the holder's lease has surely ended.
    std::set<std::string, std::less<>> organisations; ///< Those with a claim of this holder.
};

} // namespace auburnrail::detail

#endif
