#include <consensus/detail/ReplicatedLog.h>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace auburnrail::detail {

ReplicatedLog::ReplicatedLog(Snapshot latest, LogIndex firstIndex, std::deque<LogEntry> held)
    : latestSnapshot(std::move(latest))
    , first(firstIndex)
    , entries(std::move(held))
{
    if (this->entries.empty())
        this->first = this->latestSnapshot.index + 1;
    assert(this->first <= this->latestSnapshot.index + 1 && "the log must continue the snapshot");
    this->indexConfigurations();
}

auto ReplicatedLog::firstIndex() const -> LogIndex
{
    return this->first;
}

auto ReplicatedLog::lastIndex() const -> LogIndex
{
    return this->first + this->entries.size() - 1;
}

auto ReplicatedLog::lastTerm() const -> Term
{
    return this->entries.empty() ? this->latestSnapshot.term : this->entries.back().term;
}

auto ReplicatedLog::termAt(LogIndex index) const -> std::optional<Term>
{
    if (index >= this->first && index <= this->lastIndex())
        return this->at(index).term;
    if (index == this->latestSnapshot.index)
        return this->latestSnapshot.term;
    return std::nullopt;
}

auto ReplicatedLog::at(LogIndex index) const -> const LogEntry &
{
    assert(index >= this->first && index <= this->lastIndex() && "index must be held");
    return this->entries[index - this->first];
}

auto ReplicatedLog::slice(LogIndex from, std::size_t maxEntries, std::size_t maxBytes) const
    -> std::vector<LogEntry>
{
    auto result = std::vector<LogEntry>();
    auto bytes = std::size_t(0);
    for (auto index = from; index <= this->lastIndex() && result.size() < maxEntries; ++index) {
        const auto &entry = this->at(index);
        bytes += entry.payload.size();
        if (!result.empty() && bytes > maxBytes)
            break;
        result.push_back(entry);
    }
    return result;
}

auto ReplicatedLog::firstWithin(LogIndex last, LogIndex maxEntries, std::size_t maxBytes) const
    -> LogIndex
{
    auto index = last + 1;
    auto bytes = std::size_t(0);
    while (index > this->first && last + 1 - index < maxEntries) {
        bytes += this->at(index - 1).payload.size();
        if (bytes > maxBytes)
            break;
        --index;
    }
    return index;
}

auto ReplicatedLog::append(LogEntry entry) -> LogIndex
{
    const auto index = this->lastIndex() + 1;
    if (entry.kind == EntryKind::Configuration)
        this->configurations.insert_or_assign(index, entry.configuration);
    this->entries.push_back(std::move(entry));
    return index;
}

auto ReplicatedLog::truncateFrom(LogIndex index) -> void
{
    assert(index > this->latestSnapshot.index && "entries of the snapshot can't be removed");
    if (index > this->lastIndex())
        return;
    this->entries.resize(index - this->first);
    this->configurations.erase(this->configurations.lower_bound(index), this->configurations.end());
}

auto ReplicatedLog::replaceSnapshot(Snapshot latest, LogIndex keepFrom) -> void
{
    const auto held = this->termAt(latest.index) == latest.term;
    this->latestSnapshot = std::move(latest);
    if (!held) {
        this->entries.clear();
        this->first = this->latestSnapshot.index + 1;
    } else if (keepFrom > this->first) {
        const auto dropped = std::min<LogIndex>(keepFrom - this->first, this->entries.size());
        this->entries.erase(this->entries.begin(),
                            std::next(this->entries.begin(), static_cast<std::ptrdiff_t>(dropped)));
        this->first += dropped;
    }
    this->indexConfigurations();
}

auto ReplicatedLog::snapshot() const -> const Snapshot &
{
    return this->latestSnapshot;
}

auto ReplicatedLog::configuration() const -> const Configuration &
{
    return this->configurations.rbegin()->second;
}

auto ReplicatedLog::configurationIndex() const -> LogIndex
{
    return this->configurations.rbegin()->first;
}

auto ReplicatedLog::configurationAt(LogIndex index) const -> const Configuration &
{
    assert(index >= this->latestSnapshot.index && "index must not be before the snapshot");
    return std::prev(this->configurations.upper_bound(index))->second;
}

auto ReplicatedLog::indexConfigurations() -> void
{
    this->configurations.clear();
    this->configurations.emplace(this->latestSnapshot.index, this->latestSnapshot.configuration);
    for (auto index = std::max(this->first, this->latestSnapshot.index + 1);
         index <= this->lastIndex(); ++index) {
        if (this->at(index).kind == EntryKind::Configuration)
            this->configurations.emplace(index, this->at(index).configuration);
    }
}

} // namespace auburnrail::detail
