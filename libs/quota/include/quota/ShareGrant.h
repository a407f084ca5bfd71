#ifndef AUBURNRAIL_QUOTA_SHAREGRANT_H
#define AUBURNRAIL_QUOTA_SHAREGRANT_H

#include <quota/Share.h>

#include <cstdint>
#include <vector>

namespace auburnrail {

/// The ledger's response to a ShareReport.
struct ShareGrant
{
    std::uint64_t sequence = 0;   ///< Sequence of the report that this responds to.
    std::uint64_t leadership = 0; ///< Of the granting leader.
    bool urgent = false; ///< A share changes so much that the response should not be held back.
    std::vector<Share> shares; ///< Only those that differ from the report; 0 reclaims one.
};

} // namespace auburnrail

#endif
