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

/// The in-memory part of the log: the entries, the latest snapshot and the configurations in both.
/// Not thread-safe: the owner guards it.
class ReplicatedLog
{
public:
    ReplicatedLog(Snapshot latest, LogIndex firstIndex, std::deque<LogEntry> held);

    /// Index of the first entry in memory; lastIndex() + 1 when there are no entries.
    [[nodiscard]] auto firstIndex() const -> LogIndex;
    [[nodiscard]] auto lastIndex() const -> LogIndex;
    [[nodiscard]] auto lastTerm() const -> Term;

    /// Term of the entry at `index`; empty when the entry is neither in memory nor the last one
    /// that the snapshot covers.
    [[nodiscard]] auto termAt(LogIndex index) const -> std::optional<Term>;

    /// The entry at `index`, which must be in memory.
    [[nodiscard]] auto at(LogIndex index) const -> const LogEntry &;

    /// Entries from `from` on, within both limits. Always returns at least one entry if one exists
    /// there, even if it exceeds `maxBytes`.
    [[nodiscard]] auto slice(LogIndex from, std::size_t maxEntries, std::size_t maxBytes) const
        -> std::vector<LogEntry>;

    /// The first of the entries up to `last` that together are within both limits.
    [[nodiscard]] auto firstWithin(LogIndex last, LogIndex maxEntries, std::size_t maxBytes) const
        -> LogIndex;

    auto append(LogEntry entry) -> LogIndex;

    /// Removes the entries from `index` on; `index` must be after the snapshot.
    auto truncateFrom(LogIndex index) -> void;

    /// Replaces the snapshot and drops the entries before `keepFrom`, or all entries when the log
    /// does not contain the last entry that the snapshot covers.
    auto replaceSnapshot(Snapshot latest, LogIndex keepFrom) -> void;

    [[nodiscard]] auto snapshot() const -> const Snapshot &;

    /// The latest configuration in the log, committed or not, and the index of its entry.
    [[nodiscard]] auto configuration() const -> const Configuration &;
    [[nodiscard]] auto configurationIndex() const -> LogIndex;

    /// The configuration in effect at `index`, which must not be before the snapshot.
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
