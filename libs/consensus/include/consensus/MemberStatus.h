#ifndef AUBURNRAIL_CONSENSUS_MEMBERSTATUS_H
#define AUBURNRAIL_CONSENSUS_MEMBERSTATUS_H

#include <consensus/LogIndex.h>
#include <consensus/MemberId.h>
#include <core/Time.h>

#include <optional>

namespace auburnrail {

/// Status of a member from the leader's point of view.
struct MemberStatus
{
    MemberId id;
    bool voter = false;
    LogIndex matchIndex = 0;
    std::optional<Duration>
        responseAge; ///< Time since the latest request that got a response was sent.
};

} // namespace auburnrail

#endif
