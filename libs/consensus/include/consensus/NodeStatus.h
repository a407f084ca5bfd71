#ifndef AUBURNRAIL_CONSENSUS_NODESTATUS_H
#define AUBURNRAIL_CONSENSUS_NODESTATUS_H

#include <consensus/LogIndex.h>
#include <consensus/MemberId.h>
#include <consensus/MemberStatus.h>
#include <consensus/NodeRole.h>
#include <consensus/Term.h>

#include <vector>

namespace auburnrail {

/// Summary of a member for operators.
struct NodeStatus
{
    MemberId self;
    NodeRole role = NodeRole::Learner;
    Term term = 0;
    MemberName leader; ///< Empty when unknown.
    LogIndex commitIndex = 0;
    LogIndex lastIndex = 0;
    LogIndex snapshotIndex = 0;
    std::vector<MemberStatus> members; ///< Voters; on the leader also learners, match and age.
};

} // namespace auburnrail

#endif
