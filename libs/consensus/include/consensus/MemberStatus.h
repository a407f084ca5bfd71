#ifndef AUBURNRAIL_CONSENSUS_MEMBERSTATUS_H
#define AUBURNRAIL_CONSENSUS_MEMBERSTATUS_H

#include <consensus/LogIndex.h>
#include <consensus/MemberId.h>
#include <core/Time.h>

#include <optional>

namespace auburnrail {

/// A member as the leader sees it.
struct MemberStatus
{
    MemberId id;
    bool voter = false;
    LogIndex matchIndex = 0;
    std::optional<Duration> answerAge; ///< Since the last answered request was sent; empty if none.
};

} // namespace auburnrail

#endif
