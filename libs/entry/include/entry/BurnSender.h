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

/// Decides which counts of the burn report go into which heartbeat. Every SEND_INTERVAL the last
/// minutes are sent again, because the current minute grows and the receiver ignores what it
/// knows. After a change of member or a heartbeat that was not granted, the receiver may be a
/// leader without counts, and gets all that it still merges, in parts of a bounded size so that the
/// heartbeat that carries them renews the lease in time. Thread rule: one thread.
class BurnSender
{
public:
    /// Counts of the last minutes, as BurnReport::contributions gives them.
    using Source = std::function<auto(int minutes)->std::vector<BurnContribution>>;

    static constexpr auto SEND_INTERVAL = std::chrono::seconds(5);
    /// Pause after a failed heartbeat, so that a broken link is not loaded with counts.
    static constexpr auto RETRY_INTERVAL = std::chrono::seconds(1);
    static constexpr auto RECENT_MINUTES = 2;
    static constexpr auto ALL_MINUTES = 30;            ///< BurnReport::MERGE_MINUTES
    static constexpr auto MAX_ROWS = std::size_t(500); ///< In one heartbeat; measured 27 KB.

    explicit BurnSender(Source countSource);

    /// Counts to send with the heartbeat to `member` at `now`; mostly none.
    [[nodiscard]] auto begin(const std::string &member, TimePoint now)
        -> std::vector<BurnContribution>;

    /// Ends the heartbeat that begin() was called for.
    auto end(bool granted, TimePoint now) -> void;

private:
    /// Takes rows off the pending counts, at most MAX_ROWS.
    [[nodiscard]] auto takePart() -> std::vector<BurnContribution>;

    const Source source;
    std::string receiver;                  ///< Member of the last heartbeat.
    bool whole = true;                     ///< The receiver may lack older minutes.
    std::optional<TimePoint> dueAt;        ///< Nothing: at once.
    std::vector<BurnContribution> pending; ///< Oldest first; sent from the back.
};

} // namespace auburnrail

#endif
