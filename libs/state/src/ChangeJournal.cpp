#include <state/ChangeJournal.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace auburnrail {

auto ChangeJournal::append(FleetChange change) -> void
{
    if (this->changes.size() == CAPACITY_CHANGES) {
        this->dropped = this->changes.front().revision;
        this->changes.pop_front();
    }
    this->changes.push_back(std::move(change));
}

auto ChangeJournal::since(Revision revision, const ChangeFilter &filter) const
    -> std::optional<std::vector<FleetChange>>
{
    if (revision < this->dropped)
        return std::nullopt;
    auto result = std::vector<FleetChange>();
    auto seen = std::set<std::pair<ObjectKind, std::string_view>>();
    for (auto row = this->changes.rbegin(); row != this->changes.rend(); ++row) {
        if (row->revision <= revision)
            break;
        if (seen.emplace(row->kind, row->name).second && (!filter || filter(*row)))
            result.push_back(*row);
    }
    std::reverse(result.begin(), result.end());
    return result;
}

auto ChangeJournal::restart(Revision revision) -> void
{
    this->changes.clear();
    this->dropped = revision;
}

} // namespace auburnrail
