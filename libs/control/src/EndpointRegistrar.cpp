#include <control/EndpointRegistrar.h>

#include <state/SynchronousReplicas.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <map>
#include <utility>

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
    endpoint.startedAt = announcement.startedAt;
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
    return known->startedAt == announcement.startedAt && known->group == announcement.group
           && known->zone == announcement.zone && known->address == announcement.address
           && !known->leaving
           && known->connectionLimit == static_cast<std::uint32_t>(announcement.connectionLimit);
}

auto isGroupOfService(const std::string &group, const FleetObjects &state) -> bool
{
    auto found = false;
    state.table<Service>().forEach(
        [&](const Service &service) { found = found || service.group == group; });
    return found;
}

/// Whether another endpoint holds this address: of a process that started later, since an address
/// may be reused after a process that crashed without announcing its departure, or of a group that
/// a service has while the announced group has none.
auto isAddressTaken(const Announcement &announcement, const FleetObjects &state) -> bool
{
    auto taken = false;
    state.table<Endpoint>().forEach([&](const Endpoint &other) {
        if (other.address != announcement.address || other.name == announcement.endpoint)
            return;
        const auto isOtherServed = isGroupOfService(other.group, state);
        const auto isServed = isGroupOfService(announcement.group, state);
        taken = taken
                || (isOtherServed == isServed ? other.startedAt > announcement.startedAt
                                              : isOtherServed);
    });
    return taken;
}

/// Whether an endpoint that is registered in a group of no service is to be moved to the announced
/// group.
auto takesOver(const Announcement &announcement, const Endpoint &known, const FleetObjects &state)
    -> bool
{
    return !isGroupOfService(known.group, state) && isGroupOfService(announcement.group, state);
}

auto isPrimary(const Endpoint &endpoint, const FleetObjects &state) -> bool
{
    const auto *group = state.find<Group>(endpoint.group);
    return group != nullptr && group->primary == endpoint.name;
}

/// When the last of a group's endpoints at an address started, by address and group.
using LastStarts = std::map<std::pair<std::string, std::string>, std::uint64_t>;

auto lastStarts(const FleetObjects &state) -> LastStarts
{
    auto starts = LastStarts();
    state.table<Endpoint>().forEach([&](const Endpoint &endpoint) {
        auto &last = starts[{endpoint.address, endpoint.group}];
        last = std::max(last, endpoint.startedAt);
    });
    return starts;
}

auto removeOthersAtAddress(const Announcement &announcement, const FleetObjects &state,
                           std::vector<CommandBody> &commands) -> void
{
    state.table<Endpoint>().forEach([&](const Endpoint &other) {
        if (other.address != announcement.address || other.name == announcement.endpoint)
            return;
        if (!isPrimary(other, state))
            commands.emplace_back(DeleteObject{ObjectKind::Endpoint, other.name});
    });
}

auto departureCommands(bool isGone, const Endpoint &known, const FleetObjects &state)
    -> std::vector<CommandBody>
{
    if (isGone && !isPrimary(known, state))
        return {DeleteObject{ObjectKind::Endpoint, known.name}};
    if (!known.leaving)
        return {LeaveEndpoint{known.name}};
    return {};
}

/// Whether a failover may be waiting for the endpoint's log, about which its silence says nothing.
auto isLogAwaited(const Endpoint &endpoint, const FleetObjects &state) -> bool
{
    const auto *group = state.find<Group>(endpoint.group);
    return group != nullptr && group->phase == GroupPhase::Fencing
           && synchronousReplicasOf(state, endpoint.group) > 0;
}

/// Whether an unconfirmed departure is confirmed by the silence that followed it.
auto isDepartureDue(const detail::LastAnnouncement &last, TimePoint now) -> bool
{
    return last.unconfirmedDepartureAt
           && now - *last.unconfirmedDepartureAt >= EndpointRegistrar::DEPARTURE_CONFIRMATION_S;
}

} // namespace

EndpointRegistrar::EndpointRegistrar(EndpointRegistrarSettings registrarSettings)
    : settings(registrarSettings)
{
}

auto EndpointRegistrar::isOutdated(const Announcement &announcement) const -> bool
{
    const auto found = this->lastAnnouncements.find(announcement.endpoint);
    if (found == this->lastAnnouncements.end())
        return false;
    const auto &last = found->second;
    const auto isSameGroup = last.group.empty() || last.group == announcement.group;
    if (last.at == TimePoint() || !isSameGroup)
        return false;
    return announcement.startedAt < last.startedAt
           || (announcement.startedAt == last.startedAt
               && (last.gone || announcement.sequence < last.sequence));
}

auto EndpointRegistrar::judge(const Announcement &announcement, const FleetObjects &state) const
    -> AnnouncementVerdict
{
    const auto *known = state.find<Endpoint>(announcement.endpoint);
    const auto isOtherGroup = known != nullptr && known->group != announcement.group;
    if (isOtherGroup && !takesOver(announcement, *known, state))
        return AnnouncementVerdict::OtherGroup;
    if (this->isOutdated(announcement)
        || (known != nullptr && !isOtherGroup && announcement.startedAt < known->startedAt))
        return AnnouncementVerdict::Outdated;
    if (!announcement.leaving && !isRegistered(announcement, state)
        && isAddressTaken(announcement, state))
        return AnnouncementVerdict::AddressTaken;
    return AnnouncementVerdict::Accepted;
}

auto EndpointRegistrar::departed(const Announcement &announcement, const FleetObjects &state,
                                 TimePoint now) -> std::vector<CommandBody>
{
    const auto *known = state.find<Endpoint>(announcement.endpoint);
    auto &last = this->lastAnnouncements[announcement.endpoint];
    // Only the present process is certain to be the one that departs if it has announced that.
    const auto hasAnnounced = last.at != TimePoint();
    const auto isOwn = known == nullptr || (hasAnnounced ? last.leaving : known->leaving);
    if (!isOwn) {
        last.unconfirmedDepartureAt = now;
        return {};
    }
    if (known != nullptr)
        last.group = known->group;
    last.gone = true;
    last.at = now;
    return known == nullptr ? std::vector<CommandBody>() : departureCommands(true, *known, state);
}

auto EndpointRegistrar::decide(const Announcement &announcement, const FleetObjects &state,
                               TimePoint now) -> EndpointDecision
{
    const RankedLock lock(this->mutex);
    if (announcement.gone)
        return {.commands = this->withoutRepeated(this->departed(announcement, state, now),
                                                  announcement.endpoint, now)};
    const auto verdict = this->judge(announcement, state);
    if (verdict != AnnouncementVerdict::Accepted)
        return {.verdict = verdict};
    return {.commands = this->withoutRepeated(this->accept(announcement, state, now),
                                              announcement.endpoint, now)};
}

auto EndpointRegistrar::accept(const Announcement &announcement, const FleetObjects &state,
                               TimePoint now) -> std::vector<CommandBody>
{
    this->lastAnnouncements[announcement.endpoint] =
        detail::LastAnnouncement{.group = announcement.group,
                                 .startedAt = announcement.startedAt,
                                 .sequence = announcement.sequence,
                                 .leaving = announcement.leaving,
                                 .at = now};
    const auto *known = state.find<Endpoint>(announcement.endpoint);
    auto commands = std::vector<CommandBody>();
    if (announcement.leaving) {
        if (known != nullptr)
            commands = departureCommands(false, *known, state);
    } else if (!isRegistered(announcement, state)) {
        removeOthersAtAddress(announcement, state, commands);
        if (known != nullptr && known->group != announcement.group)
            commands.emplace_back(DeleteObject{ObjectKind::Endpoint, known->name});
        commands.emplace_back(SetObject{toEndpoint(announcement)});
    }
    const auto *group = state.find<Group>(announcement.group);
    const auto hadPrimary = group != nullptr && (group->term != 0 || !group->primary.empty());
    // A group of no service would keep an endpoint that another process has named.
    if (this->settings.adoptsPrimaries && announcement.primary && !announcement.leaving
        && !hadPrimary && isGroupOfService(announcement.group, state))
        commands.emplace_back(AdoptPrimary{announcement.group, announcement.endpoint});
    return commands;
}

auto EndpointRegistrar::withoutRepeated(std::vector<CommandBody> commands,
                                        const std::string &endpoint, TimePoint now)
    -> std::vector<CommandBody>
{
    std::erase_if(commands, [&](const CommandBody &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
        const auto key = CommandKey(endpoint, body.index());
        const auto previous = this->proposedAt.find(key);
        if (previous != this->proposedAt.end() && now - previous->second < REPEAT_INTERVAL_MS)
            return true;
        this->proposedAt.insert_or_assign(key, now);
        return false;
    });
    return commands;
}

auto EndpointRegistrar::beginLeadership(TimePoint now) -> void
{
    const RankedLock lock(this->mutex);
    this->leaderSince = now;
}

auto EndpointRegistrar::removalsOfSucceeded(const FleetObjects &state, TimePoint now)
    -> std::vector<CommandBody>
{
    auto commands = std::vector<CommandBody>();
    const auto starts = lastStarts(state);
    state.table<Endpoint>().forEach([&](const Endpoint &endpoint) ABSL_EXCLUSIVE_LOCKS_REQUIRED(
                                        mutex) {
        const auto isLast = starts.at({endpoint.address, endpoint.group}) == endpoint.startedAt;
        if (isLast || isPrimary(endpoint, state))
            return;
        auto removal = std::vector<CommandBody>{DeleteObject{ObjectKind::Endpoint, endpoint.name}};
        for (auto &command : this->withoutRepeated(std::move(removal), endpoint.name, now))
            commands.push_back(std::move(command));
    });
    return commands;
}

auto EndpointRegistrar::removalsOfUnresponsive(const FleetObjects &state, TimePoint now)
    -> std::vector<CommandBody>
{
    const RankedLock lock(this->mutex);
    std::erase_if(this->lastAnnouncements,
                  [now](const auto &row) { return now - row.second.at > RETENTION_S; });
    std::erase_if(this->proposedAt,
                  [now](const auto &row) { return now - row.second > RETENTION_S; });
    auto commands = this->removalsOfSucceeded(state, now);
    if (this->settings.endpointTimeout <= Duration::zero())
        return commands;
    state.table<Endpoint>().forEach(
        [&](const Endpoint &endpoint) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
            const auto found = this->lastAnnouncements.find(endpoint.name);
            const auto lastSeenAt = found == this->lastAnnouncements.end()
                                        ? this->leaderSince
                                        : std::max(this->leaderSince, found->second.at);
            const auto isSilent = now - lastSeenAt > this->settings.endpointTimeout;
            const auto isDue =
                found != this->lastAnnouncements.end() && isDepartureDue(found->second, now);
            if ((!isSilent && !isDue) || isLogAwaited(endpoint, state))
                return;
            if (!isPrimary(endpoint, state) && isSilent) {
                commands.emplace_back(DeleteObject{ObjectKind::Endpoint, endpoint.name});
                return;
            }
            if (!isDue)
                return;
            // Otherwise a delayed announcement would register the endpoint again.
            found->second.gone = true;
            for (auto &command : this->withoutRepeated(departureCommands(true, endpoint, state),
                                                       endpoint.name, now))
                commands.push_back(std::move(command));
        });
    return commands;
}

} // namespace auburnrail
