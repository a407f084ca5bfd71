#include <entry/AnnouncedEndpoints.h>

#include <core/RankedLock.h>

#include <state/Endpoint.h>
#include <state/Group.h>

namespace auburnrail {

namespace {

/// True if the endpoint missed the group's last failover and must be told its role.
auto isInOldTerm(const Group *group, const Announcement &announced) -> bool
{
    return group != nullptr && group->phase == GroupPhase::Serving && !group->primary.empty()
           && (announced.term < group->term
               || (announced.primary && group->primary != announced.endpoint));
}

/// True if the announcement differs from the fleet state. Labels that only the state has are
/// ignored: operators added them, and the endpoint must not remove them.
auto differs(const FleetObjects &state, const Announcement &announced) -> bool
{
    const auto *known = state.find<Endpoint>(announced.endpoint);
    if (known == nullptr)
        return !announced.leaving;
    if (isInOldTerm(state.find<Group>(announced.group), announced))
        return true;
    for (const auto &[key, value] : announced.labels) {
        const auto label = known->labels.find(key);
        if (label == known->labels.end() || label->second != value)
            return true;
    }
    return known->address != announced.address || known->zone != announced.zone
           || known->group != announced.group || known->leaving != announced.leaving
           || known->connectionLimit != static_cast<std::uint32_t>(announced.connectionLimit);
}

} // namespace

auto AnnouncedEndpoints::record(Announcement announcement, TimePoint now) -> void
{
    const RankedLock lock(this->mutex);
    auto name = announcement.endpoint;
    this->endpoints.insert_or_assign(std::move(name), Entry{std::move(announcement), now});
}

auto AnnouncedEndpoints::differences(const FleetObjects &state, TimePoint now)
    -> std::vector<Announcement>
{
    const RankedLock lock(this->mutex);
    std::erase_if(this->endpoints,
                  [&](const auto &entry) { return now - entry.second.receivedAt > LIFETIME_MS; });
    auto result = std::vector<Announcement>();
    for (const auto &[name, entry] : this->endpoints) {
        if (differs(state, entry.announcement))
            result.push_back(entry.announcement);
    }
    return result;
}

} // namespace auburnrail
