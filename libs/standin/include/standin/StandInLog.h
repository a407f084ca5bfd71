#ifndef AUBURNRAIL_STANDIN_STANDINLOG_H
#define AUBURNRAIL_STANDIN_STANDINLOG_H

#include <endpoint/GroupLogEntry.h>

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace auburnrail {

/// Replication log of one emulated server, and its data as the replay of the log: a map of texts
/// and the idempotency markers. Entry i has index i, from 1. Thread rule: guarded by its owner.
class StandInLog
{
public:
    /// Adds an entry at the next index of `term` and applies it.
    auto append(GroupLogEntry entry, std::uint64_t term) -> Position;

    /// Position of the last entry; zero when there is none.
    [[nodiscard]] auto last() const -> Position;

    /// True when the entry at `position` is in the log; true for the zero position.
    [[nodiscard]] auto contains(Position position) const -> bool;

    /// Last entry whose index and term are not greater than those of `position`.
    [[nodiscard]] auto lastNotAfter(Position position) const -> Position;

    /// At most `limit` entries that follow the index of `position`.
    [[nodiscard]] auto entriesAfter(Position position, std::size_t limit) const
        -> std::vector<GroupLogEntry>;

    /// Drops the entries after `position` and replays the others.
    auto truncateAfter(Position position) -> void;

    /// Adds entries of a primary, which must follow the last one.
    auto adopt(const std::vector<GroupLogEntry> &entries) -> void;

    [[nodiscard]] auto value(const std::string &key) const -> std::string;

    /// Entry that holds the idempotency marker, or null.
    [[nodiscard]] auto findMarker(const std::string &organisation, const std::string &key) const
        -> const GroupLogEntry *;

private:
    auto apply(const GroupLogEntry &entry) -> void;

    std::vector<GroupLogEntry> entries;
    std::map<std::string, std::string> values;
    std::map<std::pair<std::string, std::string>, std::size_t> markers; ///< Place in `entries`.
};

} // namespace auburnrail

#endif
