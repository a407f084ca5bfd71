#ifndef AUBURNRAIL_CONSENSUS_MESSAGE_H
#define AUBURNRAIL_CONSENSUS_MESSAGE_H

#include <consensus/AppendRequest.h>
#include <consensus/AppendResponse.h>
#include <consensus/JoinRequest.h>
#include <consensus/MemberId.h>
#include <consensus/SnapshotRequest.h>
#include <consensus/SnapshotResponse.h>
#include <consensus/Term.h>
#include <consensus/VoteRequest.h>
#include <consensus/VoteResponse.h>

#include <variant>

namespace auburnrail {

/// The request or response that a message carries.
using MessageBody = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                                 SnapshotRequest, SnapshotResponse, JoinRequest>;

/// A message between two members. Messages may be lost, delayed, duplicated or reordered.
struct Message
{
    MemberId from;
    MemberId to; ///< A receiver with another incarnation ignores the message, unless
                 ///< the message is a JoinRequest.
    Term term = 0;
    MessageBody body;

    auto operator==(const Message &) const -> bool = default;
};

} // namespace auburnrail

#endif
