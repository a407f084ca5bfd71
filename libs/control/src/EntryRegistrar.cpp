#include <control/EntryRegistrar.h>

#include <core/RankedLock.h>

#include <utility>

namespace auburnrail {

auto EntryRegistrar::beginLeadership(const FleetObjects &state, TimePoint now) -> void
{
    auto registered = std::map<std::string, TimePoint>();
    state.table<Entry>().forEach([&](const Entry &entry) { registered[entry.name] = now; });
    const RankedLock lock(this->mutex);
    this->lastSeenAt = std::move(registered);
    this->registrationProposedAt.clear();
    this->leaving.clear();
}

auto EntryRegistrar::admits(const std::string &instance, const FleetObjects &state, TimePoint now,
                            const std::function<auto(CommandBody)->void> &command) -> bool
{
    const auto isRegistered = state.find<Entry>(instance) != nullptr;
    {
        const RankedLock lock(this->mutex);
        this->lastSeenAt[instance] = now;
        if (isRegistered && !this->leaving.contains(instance))
            return true;
        // A registration that is proposed before the removal has been applied would be removed with
        // it.
        if (isRegistered)
            return false;
        this->leaving.erase(instance);
        const auto proposed = this->registrationProposedAt.find(instance);
        if (proposed != this->registrationProposedAt.end()
            && now - proposed->second < REPEAT_AFTER_MS)
            return false;
        this->registrationProposedAt[instance] = now;
    }
    command(SetObject{Entry{.name = instance}});
    return false;
}

auto EntryRegistrar::removalsOfUnresponsive(const FleetObjects &state, TimePoint now)
    -> std::vector<CommandBody>
{
    const RankedLock lock(this->mutex);
    auto removals = std::vector<CommandBody>();
    for (auto row = this->lastSeenAt.begin(); row != this->lastSeenAt.end();) {
        if (now - row->second < FORGET_AFTER_S) {
            ++row;
            continue;
        }
        if (state.find<Entry>(row->first) != nullptr) {
            this->leaving.insert(row->first);
            removals.emplace_back(DeleteObject{ObjectKind::Entry, row->first});
        }
        this->registrationProposedAt.erase(row->first);
        row = this->lastSeenAt.erase(row);
    }
    return removals;
}

} // namespace auburnrail
