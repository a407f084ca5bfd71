#include <state/FleetState.h>

#include <utility>

namespace auburnrail {

auto FleetState::objects() const -> const FleetObjects &
{
    return this->current;
}

auto FleetState::memory() const -> const CommandMemory &
{
    return this->commandMemory;
}

auto FleetState::revision() const -> Revision
{
    return this->current.revision();
}

auto FleetState::changesSince(Revision revision, const ChangeFilter &filter) const
    -> std::optional<FleetUpdate>
{
    auto changes = this->journal.since(revision, filter);
    if (!changes)
        return std::nullopt;
    return FleetUpdate{
        .baseRevision = revision, .revision = this->revision(), .changes = std::move(*changes)};
}

auto FleetState::snapshot() const -> FleetSnapshot
{
    auto result = this->entrySnapshot();
    const auto &rows = this->commandMemory.rows();
    result.commands.assign(rows.begin(), rows.end());
    result.forgottenRevision = this->commandMemory.forgottenRevision();
    return result;
}

auto FleetState::entrySnapshot(const ChangeFilter &filter) const -> FleetSnapshot
{
    auto result = FleetSnapshot{.revision = this->revision()};
    this->current.forEach([&result, &filter](const FleetObject &object) -> void {
        const auto changedAt =
            std::visit([](const auto &value) { return value.changedAt; }, object);
        if (!filter || filter(FleetChange{changedAt, kindOf(object), objectName(object), object}))
            result.objects.push_back(object);
    });
    return result;
}

auto FleetState::restore(const FleetSnapshot &snapshot) -> FleetState
{
    auto state = FleetState();
    state.current = objectsOf(snapshot);
    state.commandMemory.restore(snapshot.commands, snapshot.forgottenRevision);
    state.journal.restart(snapshot.revision);
    return state;
}

auto FleetState::store(Revision index, ObjectKind kind, const std::string &name,
                       std::optional<FleetObject> object) -> void
{
    if (object) {
        std::visit([index](auto &value) -> void { value.changedAt = index; }, *object);
        this->current.put(*object);
    } else {
        this->current.erase(kind, name);
    }
    this->journal.append(FleetChange{index, kind, name, std::move(object)});
}

auto objectsOf(const FleetSnapshot &snapshot) -> FleetObjects
{
    auto objects = FleetObjects();
    for (const auto &object : snapshot.objects)
        objects.put(object);
    objects.raiseRevision(snapshot.revision);
    return objects;
}

} // namespace auburnrail
