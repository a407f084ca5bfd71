#include <state/CommandMemory.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace auburnrail {

auto CommandMemory::remember(RememberedCommand row) -> void
{
    if (this->remembered.size() == CAPACITY_COMMANDS) {
        this->forgotten = this->remembered.front().revision;
        this->revisions.erase(this->remembered.front().commandId);
        this->remembered.pop_front();
    }
    this->revisions.emplace(row.commandId, row.revision);
    this->remembered.push_back(std::move(row));
}

auto CommandMemory::find(std::string_view commandId) const -> const RememberedCommand *
{
    const auto found = this->revisions.find(commandId);
    return found == this->revisions.end() ? nullptr : this->findRevision(found->second);
}

auto CommandMemory::findRevision(Revision revision) const -> const RememberedCommand *
{
    const auto found = std::lower_bound(
        this->remembered.begin(), this->remembered.end(), revision,
        [](const auto &row, auto wanted) -> bool { return row.revision < wanted; });
    if (found == this->remembered.end() || found->revision != revision)
        return nullptr;
    return &*found;
}

auto CommandMemory::findLastChange(ObjectKind kind, std::string_view name) const
    -> const RememberedCommand *
{
    const auto found = std::find_if(this->remembered.rbegin(), this->remembered.rend(),
                                    [kind, name](const auto &row) -> bool {
                                        return row.kind == kind && row.name == name
                                               && row.result.status == CommandStatus::Applied;
                                    });
    return found == this->remembered.rend() ? nullptr : &*found;
}

auto CommandMemory::forgottenRevision() const -> Revision
{
    return this->forgotten;
}

auto CommandMemory::rows() const -> const std::deque<RememberedCommand> &
{
    return this->remembered;
}

auto CommandMemory::restore(std::vector<RememberedCommand> newRows, Revision newForgotten) -> void
{
    this->remembered.assign(std::make_move_iterator(newRows.begin()),
                            std::make_move_iterator(newRows.end()));
    this->revisions.clear();
    for (const auto &row : this->remembered)
        this->revisions.emplace(row.commandId, row.revision);
    this->forgotten = newForgotten;
}

} // namespace auburnrail
