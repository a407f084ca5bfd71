#ifndef AUBURNRAIL_CONSENSUS_DETAIL_MEMBERPROGRESS_H
#define AUBURNRAIL_CONSENSUS_DETAIL_MEMBERPROGRESS_H

#include <consensus/LogIndex.h>

#include <core/Time.h>

#include <cstdint>
#include <optional>

namespace auburnrail::detail {

/// What a leader knows of one other member.
struct MemberProgress
{
    bool voter = false;
    TimePoint since{};                     ///< When the leader began to replicate to it.
    LogIndex matchIndex = 0;               ///< Last entry known to be durable there.
    LogIndex nextIndex = 1;                ///< First entry to send.
    LogIndex snapshotIndex = 0;            ///< Snapshot under way, 0 if none.
    std::uint64_t snapshotOffset = 0;      ///< Bytes of it that arrived.
    std::optional<Duration> awaited;       ///< sentAt of the request that is not answered yet.
    std::optional<TimePoint> lastAnswered; ///< When the latest answered request was sent.

    /// Whether a request sent within `window` before `now` was answered.
    [[nodiscard]] auto answersWithin(Duration window, TimePoint now) const -> bool
    {
        return this->lastAnswered && *this->lastAnswered + window > now;
    }
};

} // namespace auburnrail::detail

#endif
