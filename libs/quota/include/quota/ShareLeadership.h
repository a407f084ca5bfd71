#ifndef AUBURNRAIL_QUOTA_SHARELEADERSHIP_H
#define AUBURNRAIL_QUOTA_SHARELEADERSHIP_H

#include <cstdint>
#include <set>
#include <string>

namespace auburnrail {

/// Initial state of a new leader's ShareLedger.
struct ShareLeadership
{
    std::uint64_t number = 0; ///< Increases with each leadership; the term of the control group.

    /// Every instance to which an earlier leader may have granted shares.
    std::set<std::string> earlierHolders;
};

} // namespace auburnrail

#endif
