#ifndef AUBURNRAIL_CONSENSUS_VOTEREQUEST_H
#define AUBURNRAIL_CONSENSUS_VOTEREQUEST_H

#include <consensus/LogIndex.h>
#include <consensus/Term.h>

namespace auburnrail {

/// Requests a vote in the message's term. With `preVote` it only asks whether the vote would be
/// granted, so that a member that returns after a partition does not increase the term.
struct VoteRequest
{
    bool preVote = false;
    LogIndex lastIndex = 0;
    Term lastTerm = 0;

    auto operator==(const VoteRequest &) const -> bool = default;
};

} // namespace auburnrail

#endif
