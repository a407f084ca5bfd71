#include <control/EntryRegistrar.h>

#include <core/RankedLock.h>

#include <utility>

namespace auburnrail {

auto EntryRegistrar::beginLeadership(const FleetObjects &state, TimePoint now) -> void
{
    auto registered = std::map<std::string, TimePoint>();
    state.table<Entry>().forEach([&](const Entry &entry) { registered[entry.name] = now; });
    const RankedLock lock(this->mutex);
    this->heardAt = std::move(registered);
    this->orderedAt.clear();
    this->leaving.clear();
}

auto EntryRegistrar::admits(const std::string &instance, const FleetObjects &state, TimePoint now,
                            const std::function<auto(CommandBody)->void> &command) -> bool
{
    const auto isRegistered = state.find<Entry>(instance) != nullptr;
    {
        const RankedLock lock(this->mutex);
        this->heardAt[instance] = now;
        if (isRegistered && !this->leaving.contains(instance))
            return true;
        // A registration that is ordered before the removal has been applied would be removed.
        if (isRegistered)
            return false;
        this->leaving.erase(instance);
        const auto ordered = this->orderedAt.find(instance);
        if (ordered != this->orderedAt.end() && now - ordered->second < REPEAT_AFTER_MS)
            return false;
        this->orderedAt[instance] = now;
    }
    command(SetObject{Entry{.name = instance}});
    return false;
}

auto EntryRegistrar::removalsOfSilent(const FleetObjects &state, TimePoint now)
    -> std::vector<CommandBody>
{
    const RankedLock lock(this->mutex);
    auto removals = std::vector<CommandBody>();
    for (auto row = this->heardAt.begin(); row != this->heardAt.end();) {
        if (now - row->second < FORGET_AFTER_S) {
            ++row;
            continue;
        }
        if (state.find<Entry>(row->first) != nullptr) {
            this->leaving.insert(row->first);
            removals.emplace_back(DeleteObject{ObjectKind::Entry, row->first});
        }
        this->orderedAt.erase(row->first);
        row = this->heardAt.erase(row);
    }
    return removals;
}

} // namespace auburnrail
