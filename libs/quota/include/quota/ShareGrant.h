#ifndef AUBURNRAIL_QUOTA_SHAREGRANT_H
#define AUBURNRAIL_QUOTA_SHAREGRANT_H

#include <quota/Share.h>

#include <cstdint>
#include <vector>

namespace auburnrail {

/// The answer to a ShareReport.
struct ShareGrant
{
    std::uint64_t sequence = 0;   ///< Sequence of the report that this answers.
    std::uint64_t leadership = 0; ///< Of the leader that answers.
    bool urgent = false;       ///< A share changes so much that the answer should not be held back.
    std::vector<Share> shares; ///< Only those that differ from the reported ones; 0 takes one away.
};

} // namespace auburnrail

#endif
