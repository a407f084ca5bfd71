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
    LogIndex sentThrough = 0;         ///< Last entry in the latest request, or in its snapshot.
    LogIndex snapshotIndex = 0;       ///< Index of the snapshot being sent, 0 if none.
    std::uint64_t snapshotOffset = 0; ///< Bytes of that snapshot that the member has received.
    std::uint64_t snapshotSentThrough = 0; ///< Bytes of that snapshot that were sent.
    /// sentAt of the request that is not confirmed yet. Heartbeats don't repeat it.
    std::optional<Duration> outstandingSentAt;
    /// Send time of the latest request that got a response.
    std::optional<TimePoint> lastRespondedSentAt;

    /// Whether a refusal of a request sent at `refusedSentAt` shows that the outstanding request
    /// did not arrive. Only requests without entries are sent after it.
    [[nodiscard]] auto isLost(Duration refusedSentAt) const -> bool
    {
        return this->outstandingSentAt && refusedSentAt > *this->outstandingSentAt;
    }

    /// Whether the member responded to a request sent within `window` before `now`.
    [[nodiscard]] auto respondedWithin(Duration window, TimePoint now) const -> bool
    {
        return this->lastRespondedSentAt && *this->lastRespondedSentAt + window > now;
    }
};

} // namespace auburnrail::detail

#endif
