#ifndef AUBURNRAIL_CONSENSUS_DETAIL_REPLICATEDLOG_H
#define AUBURNRAIL_CONSENSUS_DETAIL_REPLICATEDLOG_H

#include <consensus/LogEntry.h>
#include <consensus/LogIndex.h>
#include <consensus/Snapshot.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace auburnrail::detail {

/// The entries held in memory, the latest snapshot and the configurations they contain.
/// Thread rule: guarded by its owner.
class ReplicatedLog
{
public:
    ReplicatedLog(Snapshot latest, LogIndex firstIndex, std::deque<LogEntry> held);

    /// First index held; lastIndex() + 1 when none is.
    [[nodiscard]] auto firstIndex() const -> LogIndex;
    [[nodiscard]] auto lastIndex() const -> LogIndex;
    [[nodiscard]] auto lastTerm() const -> Term;

    /// Term of the entry at `index`; empty when it is neither held nor the snapshot's last.
    [[nodiscard]] auto termAt(LogIndex index) const -> std::optional<Term>;

    /// The entry at `index`, which must be held.
    [[nodiscard]] auto at(LogIndex index) const -> const LogEntry &;

    /// Entries from `from` on, at least one when there is one, within both limits.
    [[nodiscard]] auto slice(LogIndex from, std::size_t maxEntries, std::size_t maxBytes) const
        -> std::vector<LogEntry>;

    auto append(LogEntry entry) -> LogIndex;

    /// Removes the entries from `index` on; `index` must be beyond the snapshot.
    auto truncateFrom(LogIndex index) -> void;

    /// Replaces the snapshot and drops the entries before `keepFrom`, or all of them when the log
    /// does not hold the snapshot's last entry.
    auto replaceSnapshot(Snapshot latest, LogIndex keepFrom) -> void;

    [[nodiscard]] auto snapshot() const -> const Snapshot &;

    /// The latest configuration in the log, committed or not, and the index it came with.
    [[nodiscard]] auto configuration() const -> const Configuration &;
    [[nodiscard]] auto configurationIndex() const -> LogIndex;

    /// The configuration in force at `index`, which must not be before the snapshot.
    [[nodiscard]] auto configurationAt(LogIndex index) const -> const Configuration &;

private:
    auto indexConfigurations() -> void;

    Snapshot latestSnapshot;
    LogIndex first;
    std::deque<LogEntry> entries;
    std::map<LogIndex, Configuration> configurations;
};

} // namespace auburnrail::detail

#endif
