#ifndef AUBURNRAIL_CONSENSUS_DETAIL_MEMBERPROGRESS_H
#define AUBURNRAIL_CONSENSUS_DETAIL_MEMBERPROGRESS_H

#include <consensus/LogIndex.h>

#include <core/Time.h>

#include <cstdint>
#include <optional>

namespace auburnrail::detail {

/// Replication progress of one other member, as tracked by the leader.
struct MemberProgress
{
    bool voter = false;
    TimePoint replicatingSince{};     ///< When the leader began to replicate to the member.
    LogIndex matchIndex = 0;          ///< Last entry known to be durable on the member.
    LogIndex nextIndex = 1;           ///< First entry to send.
    LogIndex sentThrough = 0;         ///< Last entry in the latest request.
    LogIndex snapshotIndex = 0;       ///< Index of the snapshot being sent, 0 if none.
    std::uint64_t snapshotOffset = 0; ///< Bytes of that snapshot that the member has received.
    /// sentAt of the request that has no response yet.
    std::optional<Duration> outstandingSentAt;
    /// Send time of the latest request that got a response.
    std::optional<TimePoint> lastRespondedSentAt;

    /// Whether the member responded to a request sent within `window` before `now`.
    [[nodiscard]] auto respondedWithin(Duration window, TimePoint now) const -> bool
    {
        return this->lastRespondedSentAt && *this->lastRespondedSentAt + window > now;
    }
};

} // namespace auburnrail::detail

#endif
