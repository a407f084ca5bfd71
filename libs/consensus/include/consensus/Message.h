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

/// What one message asks or answers.
using MessageBody = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                                 SnapshotRequest, SnapshotResponse, JoinRequest>;

/// One message between members. It may be lost, delayed, duplicated or reordered.
struct Message
{
    MemberId from;
    MemberId to; ///< A receiver with another incarnation does not act on the message.
    Term term = 0;
    MessageBody body;

    auto operator==(const Message &) const -> bool = default;
};

} // namespace auburnrail

#endif
