#ifndef AUBURNRAIL_CONSENSUS_JOINREQUEST_H
#define AUBURNRAIL_CONSENSUS_JOINREQUEST_H

namespace auburnrail {

/// Tells a leader that the sender lives and is not the incarnation the leader knows, or knows none.
struct JoinRequest
{
    auto operator==(const JoinRequest &) const -> bool = default;
};

} // namespace auburnrail

#endif
