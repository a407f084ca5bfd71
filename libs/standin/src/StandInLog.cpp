#include <standin/StandInLog.h>

#include <standin/Statement.h>

#include <algorithm>
#include <cassert>

namespace auburnrail {

auto StandInLog::append(GroupLogEntry entry, std::uint64_t term) -> Position
{
    entry.position = Position{.term = term, .index = this->entries.size() + 1};
    this->apply(entry);
    this->entries.push_back(std::move(entry));
    return this->entries.back().position;
}

auto StandInLog::last() const -> Position
{
    return this->entries.empty() ? Position() : this->entries.back().position;
}

auto StandInLog::contains(Position position) const -> bool
{
    if (position.index == 0)
        return position.term == 0;
    return position.index <= this->entries.size()
           && this->entries[position.index - 1].position == position;
}

auto StandInLog::lastNotAfter(Position position) const -> Position
{
    auto count = std::min<std::size_t>(position.index, this->entries.size());
    while (count > 0 && this->entries[count - 1].position.term > position.term)
        --count;
    return count == 0 ? Position() : this->entries[count - 1].position;
}

auto StandInLog::entriesAfter(Position position, std::size_t limit) const
    -> std::vector<GroupLogEntry>
{
    const auto begin = std::min<std::size_t>(position.index, this->entries.size());
    const auto end = std::min(begin + limit, this->entries.size());
    return {this->entries.begin() + static_cast<std::ptrdiff_t>(begin),
            this->entries.begin() + static_cast<std::ptrdiff_t>(end)};
}

auto StandInLog::truncateAfter(Position position) -> void
{
    const auto kept = this->lastNotAfter(position).index;
    if (kept == this->entries.size())
        return;
    this->entries.resize(kept);
    this->values.clear();
    this->markers.clear();
    auto remaining = std::vector<GroupLogEntry>();
    remaining.swap(this->entries);
    this->adopt(remaining);
}

auto StandInLog::adopt(const std::vector<GroupLogEntry> &newEntries) -> void
{
    for (const auto &entry : newEntries) {
        assert(entry.position.index == this->entries.size() + 1 && "entries must be consecutive");
        this->apply(entry);
        this->entries.push_back(entry);
    }
}

auto StandInLog::value(const std::string &key) const -> std::string
{
    const auto found = this->values.find(key);
    return found == this->values.end() ? "" : found->second;
}

auto StandInLog::findMarker(const std::string &organisation, const std::string &key) const
    -> const GroupLogEntry *
{
    const auto found = this->markers.find(std::pair(organisation, key));
    return found == this->markers.end() ? nullptr : &this->entries[found->second];
}

auto StandInLog::apply(const GroupLogEntry &entry) -> void
{
    for (const auto &text : entry.statements) {
        if (const auto statement = Statement::parse(text)) {
            auto &value = this->values[statement->key];
            value = statement->applyTo(value);
        }
    }
    if (!entry.idempotencyKey.empty())
        this->markers.emplace(std::pair(entry.organisation, entry.idempotencyKey),
                              this->entries.size());
}

} // namespace auburnrail
