#include <state/ChangeJournal.h>

#include <algorithm>
#include <utility>

namespace auburnrail {

auto ChangeJournal::append(FleetChange change) -> void
{
    auto &sequence = this->sequences[{change.kind, change.name}];
    this->changes.erase(sequence);
    sequence = ++this->lastSequence;
    this->changes.emplace(sequence, std::move(change));
    if (this->changes.size() <= CAPACITY_CHANGES)
        return;
    const auto oldest = this->changes.begin();
    this->dropped = oldest->second.revision;
    this->sequences.erase({oldest->second.kind, oldest->second.name});
    this->changes.erase(oldest);
}

auto ChangeJournal::since(Revision revision, const ChangeFilter &filter) const
    -> std::optional<std::vector<FleetChange>>
{
    if (revision < this->dropped)
        return std::nullopt;
    auto result = std::vector<FleetChange>();
    for (auto row = this->changes.rbegin(); row != this->changes.rend(); ++row) {
        const auto &change = row->second;
        if (change.revision <= revision)
            break;
        if (!filter || filter(change))
            result.push_back(change);
    }
    std::reverse(result.begin(), result.end());
    return result;
}

auto ChangeJournal::size() const -> std::size_t
{
    return this->changes.size();
}

auto ChangeJournal::restart(Revision revision) -> void
{
    this->changes.clear();
    this->sequences.clear();
    this->dropped = revision;
}

} // namespace auburnrail
