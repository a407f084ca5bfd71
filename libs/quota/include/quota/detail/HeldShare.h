#ifndef AUBURNRAIL_QUOTA_DETAIL_HELDSHARE_H
#define AUBURNRAIL_QUOTA_DETAIL_HELDSHARE_H

#include <core/TokenBucket.h>

#include <cstdint>

namespace auburnrail::detail {

/// A ShareHolder's state for one organisation. Rate in millitokens per second, burst in
/// millitokens.
struct HeldShare
{
    TokenBucket bucket;
    std::int64_t rate = 0;
    std::int64_t burst = 0;
    std::uint64_t arrivals = 0; ///< Since the last report.
    std::uint64_t refused = 0;  ///< Since the last report.
    std::uint64_t backlog = 0;
    double arrivedPerSecond = 0;  ///< Moving average.
    double reportedPerSecond = 0; ///< Last value reported to the ledger.
    TimePoint lastArrival;
    bool reported = false; ///< The last report included the organisation.
};

} // namespace auburnrail::detail

#endif
