#ifndef AUBURNRAIL_CONSENSUS_NODESTATUS_H
#define AUBURNRAIL_CONSENSUS_NODESTATUS_H

#include <consensus/LogIndex.h>
#include <consensus/MemberId.h>
#include <consensus/MemberStatus.h>
#include <consensus/NodeRole.h>
#include <consensus/Term.h>

#include <vector>

namespace auburnrail {

/// Status of a member, as shown to operators.
struct NodeStatus
{
    MemberId self;
    NodeRole role = NodeRole::Learner;
    Term term = 0;
    MemberName leader; ///< Empty when unknown.
    LogIndex commitIndex = 0;
    LogIndex lastIndex = 0;
    LogIndex snapshotIndex = 0;
    LogIndex durableIndex = 0; ///< Last entry that is on this member's disk.
    bool diskBlocked = false;  ///< The disk refuses a write or has not completed it in time.
    std::vector<MemberStatus> members; ///< Voters. On the leader also learners, with matchIndex
                                       ///< and responseAge set.
};

} // namespace auburnrail

#endif
