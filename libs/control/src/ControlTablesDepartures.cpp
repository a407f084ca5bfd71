#include <control/ControlTables.h>

#include <state/SynchronousReplicas.h>

#include "DepartureLines.h"

#include <chrono>
#include <future>
#include <memory>
#include <utility>

namespace auburnrail {

namespace {

/// Announcements that wait for a handover at one time. Each blocks a worker of the server that took
/// it; beyond that they are refused at once, and come again about a second later.
constexpr auto MAX_WAITING_DEPARTURES = 4;

auto toHandoverGroup(const FleetObjects &objects, const std::string &name)
    -> std::optional<FailoverGroup>
{
    const auto *group = objects.find<Group>(name);
    if (group == nullptr)
        return std::nullopt;
    auto view = FailoverGroup{.name = name,
                              .term = group->term,
                              .phase = group->phase,
                              .primary = group->primary,
                              .primaryStartedAt = group->primaryStartedAt,
                              .endpoints = {},
                              .synchronousReplicas = synchronousReplicasOf(objects, name)};
    for (const auto &member : objects.endpointsOf(name)) {
        // Endpoints of an evacuated zone keep their logs until they leave themselves.
        if (const auto *endpoint = objects.find<Endpoint>(member)) {
            view.endpoints.push_back(GroupEndpoint{endpoint->name, endpoint->address,
                                                   endpoint->leaving, endpoint->startedAt});
        }
    }
    return view;
}

} // namespace

auto ControlTables::makeDepartureHooks() -> DepartureHandoverHooks
{
    auto departureHooks = DepartureHandoverHooks();
    departureHooks.group = [this](const std::string &group) {
        return toHandoverGroup(this->store.objects(), group);
    };
    departureHooks.isInFailover = [this](const std::string &group) {
        return this->failover.phaseOf(group) != FailoverPhase::Watching;
    };
    if (this->endpointHooks.status) {
        departureHooks.inspect = [this](const GroupEndpoint &endpoint, const std::string &group,
                                        auto done) {
            this->executor.post([this, endpoint, group, done] {
                done(this->endpointHooks.status(endpoint, group), this->executor.now());
            });
        };
    }
    if (this->endpointHooks.stopReplication) {
        departureHooks.stopReplication = [this](const GroupEndpoint &endpoint,
                                                const std::string &group, auto done) {
            this->executor.post([this, endpoint, group, done] {
                done(this->endpointHooks.stopReplication(endpoint, group), this->executor.now());
            });
        };
    }
    departureHooks.follow = [this](const GroupEndpoint &endpoint, const std::string &group,
                                   std::uint64_t term, const GroupEndpoint &primary, auto done) {
        this->executor.post([this, endpoint, group, term, primary, done] {
            done(this->endpointHooks.follow(endpoint, group, term, primary), this->executor.now());
        });
    };
    departureHooks.ended = [this](const DepartureRecord &record) {
        detail::logDeparture(record);
        this->metrics.countDeparture(record.outcome);
    };
    return departureHooks;
}

auto ControlTables::awaitHandover(const Announcement &announcement, TimePoint deadline)
    -> absl::Status
{
    const auto now = this->executor.now();
    const auto state = this->store.objects();
    const auto *endpoint = state.find<Endpoint>(announcement.endpoint);
    if (endpoint == nullptr || endpoint->group != announcement.group)
        return absl::OkStatus();
    if (!this->isLeading(now))
        return absl::UnavailableError("this member doesn't lead");
    const auto promise = std::make_shared<std::promise<void>>();
    auto ended = promise->get_future();
    this->departures.leaves(
        endpoint->group,
        GroupEndpoint{endpoint->name, endpoint->address, true, announcement.startedAt}, now,
        [promise](DepartureOutcome /*outcome*/) { promise->set_value(); });
    const auto isRoom = this->waitingDepartures.fetch_add(1) < MAX_WAITING_DEPARTURES;
    const auto wait = isRoom ? deadline - now : Duration::zero();
    const auto isEnded = ended.wait_for(wait) == std::future_status::ready;
    this->waitingDepartures.fetch_sub(1);
    return isEnded ? absl::OkStatus() : absl::UnavailableError("the handover is under way");
}

} // namespace auburnrail
