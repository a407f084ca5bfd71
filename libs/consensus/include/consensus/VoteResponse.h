#ifndef AUBURNRAIL_CONSENSUS_VOTERESPONSE_H
#define AUBURNRAIL_CONSENSUS_VOTERESPONSE_H

namespace auburnrail {

/// Response to a VoteRequest. The message with a granted pre-vote carries the requested term, not
/// the responder's own.
struct VoteResponse
{
    bool preVote = false;
    bool granted = false;

    auto operator==(const VoteResponse &) const -> bool = default;
};

} // namespace auburnrail

#endif
