#ifndef AUBURNRAIL_QUOTA_SHARELEADERSHIP_H
#define AUBURNRAIL_QUOTA_SHARELEADERSHIP_H

#include <cstdint>
#include <set>
#include <string>

namespace auburnrail {

/// What a new leader starts with.
struct ShareLeadership
{
    std::uint64_t number = 0; ///< Grows with each leadership; the term of the control group.

    /// Every instance to which an earlier leader may have lent.
    std::set<std::string> earlierHolders;
};

} // namespace auburnrail

#endif
