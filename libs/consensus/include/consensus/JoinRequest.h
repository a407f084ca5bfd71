#ifndef AUBURNRAIL_CONSENSUS_JOINREQUEST_H
#define AUBURNRAIL_CONSENSUS_JOINREQUEST_H

namespace auburnrail {

/// Tells a leader that the sender is running with an incarnation that the leader does not know, or
/// that the sender receives nothing from a leader.
struct JoinRequest
{
    auto operator==(const JoinRequest &) const -> bool = default;
};

} // namespace auburnrail

#endif
