#include <control/EntryUpdates.h>

#include <core/RankedLock.h>

namespace auburnrail {

namespace {

/// Entries use the objects that a configuration document defines, not its text, and don't need the
/// list of entries.
auto isForEntries(const FleetChange &change) -> bool
{
    return change.kind != ObjectKind::Document && change.kind != ObjectKind::Entry;
}

auto compose(const FleetState &state, Revision applied) -> EntryUpdate
{
    if (auto changes = state.changesSince(applied, isForEntries))
        return EntryUpdate{.changes = std::make_shared<FleetUpdate>(*std::move(changes)),
                           .snapshot = nullptr};
    return EntryUpdate{.changes = nullptr,
                       .snapshot =
                           std::make_shared<FleetSnapshot>(state.entrySnapshot(isForEntries))};
}

} // namespace

EntryUpdates::EntryUpdates(const FleetStore &fleetStore)
    : store(fleetStore)
{
}

auto EntryUpdates::since(Revision applied) -> EntryUpdate
{
    auto update = EntryUpdate();
    const RankedLock lock(this->mutex);
    this->store.read([&](const FleetState &state) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
        if (state.revision() <= applied)
            return;
        if (state.revision() != this->revision) {
            this->updates.clear();
            this->revision = state.revision();
        }
        const auto found = this->updates.find(applied);
        update = found != this->updates.end()
                     ? found->second
                     : this->updates.emplace(applied, compose(state, applied)).first->second;
    });
    return update;
}

} // namespace auburnrail
