#include <control/EndpointRegistrar.h>

#include <core/RankedLock.h>

namespace auburnrail {

namespace {

auto toEndpoint(const Announcement &announcement) -> Endpoint
{
    auto endpoint = Endpoint();
    endpoint.name = announcement.endpoint;
    endpoint.group = announcement.group;
    endpoint.zone = announcement.zone;
    endpoint.address = announcement.address;
    endpoint.connectionLimit = static_cast<std::uint32_t>(announcement.connectionLimit);
    endpoint.labels = announcement.labels;
    return endpoint;
}

auto isRegistered(const Announcement &announcement, const FleetObjects &state) -> bool
{
    const auto *known = state.find<Endpoint>(announcement.endpoint);
    if (known == nullptr)
        return false;
    for (const auto &[key, value] : announcement.labels) {
        const auto label = known->labels.find(key);
        if (label == known->labels.end() || label->second != value)
            return false;
    }
    return known->group == announcement.group && known->zone == announcement.zone
           && known->address == announcement.address && !known->leaving
           && known->connectionLimit == static_cast<std::uint32_t>(announcement.connectionLimit);
}

} // namespace

auto EndpointRegistrar::commandsFor(const Announcement &announcement, const FleetObjects &state,
                                    TimePoint now) -> std::vector<CommandBody>
{
    auto commands = std::vector<CommandBody>();
    const auto *known = state.find<Endpoint>(announcement.endpoint);
    if (announcement.leaving) {
        if (known != nullptr && !known->leaving)
            commands.emplace_back(LeaveEndpoint{announcement.endpoint});
    } else if (!isRegistered(announcement, state)) {
        commands.emplace_back(SetObject{toEndpoint(announcement)});
    }
    if (commands.empty())
        return commands;
    const RankedLock lock(this->mutex);
    const auto previous = this->proposedAt.find(announcement.endpoint);
    if (previous != this->proposedAt.end() && now - previous->second < REPEAT_INTERVAL_MS)
        return {};
    this->proposedAt.insert_or_assign(announcement.endpoint, now);
    return commands;
}

} // namespace auburnrail
