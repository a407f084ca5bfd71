#ifndef AUBURNRAIL_CONSENSUS_VOTERESPONSE_H
#define AUBURNRAIL_CONSENSUS_VOTERESPONSE_H

namespace auburnrail {

/// Answer to a VoteRequest. A given pre-vote carries the term it was asked for.
struct VoteResponse
{
    bool preVote = false;
    bool granted = false;

    auto operator==(const VoteResponse &) const -> bool = default;
};

} // namespace auburnrail

#endif
