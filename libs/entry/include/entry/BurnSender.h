#ifndef AUBURNRAIL_ENTRY_BURNSENDER_H
#define AUBURNRAIL_ENTRY_BURNSENDER_H

#include <observe/BurnContribution.h>

#include <core/Time.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Selects the burn report counts that each heartbeat carries. Every SEND_INTERVAL, the most recent
/// minutes are sent again: the counts of the current minute still grow, and the receiver ignores
/// duplicates. After a change of member or a heartbeat that was not granted, the receiver may be a
/// leader without counts, so it gets all minutes that it still merges. They are split into parts of
/// bounded size, so that the heartbeats that carry them renew the lease in time. Not thread-safe.
class BurnSender
{
public:
    /// Counts of the last minutes, as BurnReport::contributions gives them.
    using Source = std::function<auto(int minutes)->std::vector<BurnContribution>>;

    static constexpr auto SEND_INTERVAL = std::chrono::seconds(5);
    /// Pause after a failed heartbeat, so that a broken connection is not loaded with counts.
    static constexpr auto RETRY_INTERVAL = std::chrono::seconds(1);
    static constexpr auto RECENT_MINUTES = 2;
    static constexpr auto ALL_MINUTES = 30;            ///< BurnReport::MERGE_MINUTES
    static constexpr auto MAX_ROWS = std::size_t(500); ///< Per heartbeat, about 27 KB.

    explicit BurnSender(Source countSource);

    /// Counts to send with the heartbeat to `member` at `now`; usually none.
    [[nodiscard]] auto begin(const std::string &member, TimePoint now)
        -> std::vector<BurnContribution>;

    /// Reports the result of the heartbeat that begin() was called for.
    auto end(bool granted, TimePoint now) -> void;

private:
    /// Removes and returns up to MAX_ROWS pending rows.
    [[nodiscard]] auto takePart() -> std::vector<BurnContribution>;

    const Source source;
    std::string receiver;                  ///< Member of the last heartbeat.
    bool sendAllMinutes = true;            ///< The receiver may lack older minutes.
    std::optional<TimePoint> dueAt;        ///< Not set: due immediately.
    std::vector<BurnContribution> pending; ///< Oldest first; sent from the back.
};

} // namespace auburnrail

#endif
