#ifndef AUBURNRAIL_ENTRY_STAMPHISTORY_H
#define AUBURNRAIL_ENTRY_STAMPHISTORY_H

#include <heartbeat/LeaderStamp.h>

#include <core/Time.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

namespace auburnrail {

/// The last stamps of the control leader that an entry has received, and when.
class StampHistory
{
public:
    /// Answers come about every second, and more often while the fleet state changes. Long enough
    /// for a request that is sent between two of them and answered at its time limit.
    static constexpr auto MAX_STAMPS = std::size_t(64);

    /// Adds a stamp that had arrived by `receivedAt`. The stamps of another leadership end.
    auto add(const LeaderStamp &stamp, TimePoint receivedAt) -> void;

    /// The newest stamp that had arrived before `sentAt`; nothing if none is known.
    [[nodiscard]] auto newestBefore(TimePoint sentAt) const -> std::optional<LeaderStamp>;

private:
    std::deque<std::pair<TimePoint, LeaderStamp>> stamps; ///< By arrival.
};

} // namespace auburnrail

#endif
