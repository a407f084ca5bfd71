#include <control/ControlTables.h>

#include <control/CheckAnnouncement.h>
#include <state/SynchronousReplicas.h>

#include <daemon/Logging.h>
#include <observe/BurnObjectives.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <memory>

namespace auburnrail {

namespace {

constexpr auto MILLI = 1000.0;
/// Below the time that an endpoint waits for the response to its announcement, about one second.
constexpr auto DEPARTURE_TIME_LIMIT = std::chrono::milliseconds(700);
constexpr auto MAINTENANCE_INTERVAL = std::chrono::milliseconds(100);

auto toLimits(const Organisation &organisation) -> ShareLimits
{
    return ShareLimits{.rate = static_cast<std::int64_t>(organisation.ratePerSecond * MILLI),
                       .burst = static_cast<std::int64_t>(organisation.burst * MILLI)};
}

/// Whether the endpoint leaves, or its zone is evacuated. Another one of its group is to be
/// primary.
auto isOutOfService(const FleetObjects &objects, const Endpoint &endpoint) -> bool
{
    return endpoint.leaving || objects.isEvacuated(endpoint.zone);
}

auto toFailoverGroup(const FleetObjects &objects, const Group &group) -> FailoverGroup
{
    auto view = FailoverGroup{.name = group.name,
                              .term = group.term,
                              .phase = group.phase,
                              .primary = group.primary,
                              .primaryStartedAt = group.primaryStartedAt,
                              .endpoints = {},
                              .evidence = group.evidence};
    for (const auto &name : objects.endpointsOf(group.name)) {
        if (const auto *endpoint = objects.find<Endpoint>(name)) {
            view.endpoints.push_back(GroupEndpoint{endpoint->name, endpoint->address,
                                                   isOutOfService(objects, *endpoint),
                                                   endpoint->startedAt});
        }
    }
    view.synchronousReplicas = synchronousReplicasOf(objects, group.name);
    return view;
}

auto logGrantingStart(const ShareGrantingStart &start) -> void
{
    logLine(LogLevel::Info, "quota", "share grants begin",
            {{"waited_ms", absl::StrCat(toMillis(start.waited))},
             {"unreported", absl::StrCat(start.unreported.size())},
             {"last_reporter", start.lastReporter},
             {"first_unreported", start.unreported.empty() ? "" : *start.unreported.begin()}});
}

} // namespace

ControlTables::ControlTables(Executor controlExecutor, RandomSource secureRandom,
                             ControlTablesHooks tableHooks, ControlTablesSettings tableSettings)
    : hooks(std::move(tableHooks))
    , settings(tableSettings)
    , executor(std::move(controlExecutor))
    , random(std::move(secureRandom))
    , pipeline(CommandPipelineHooks{
          .propose =
              [this](std::string payload) { return this->hooks.propose(std::move(payload)); },
          .whenInForce =
              [this](Revision revision, std::function<auto(bool)->void> callback) {
                  this->leases.whenInForce(revision, std::move(callback));
                  // Needed when the revision is in force already, since no renewal will report it.
                  this->leases.advance(this->executor.now());
              }})
    , leases(LeaseTableHooks{.hasQuorum =
                                 [this](TimePoint now) {
                                     return this->hooks.isLeaderWithQuorum(now);
                                 }})
    , heldResponses(this->executor)
    , ledger(QuotaTiming(), ShareLedgerHooks{.grantReady =
                                                 [this](const HolderId &holder) {
                                                     this->heldResponses.sharesChanged(holder);
                                                 },
                                             .grantingStarted =
                                                 [this](const ShareGrantingStart &start) {
                                                     // The ledger of a member that has lost its
                                                     // leadership goes on, but answers nobody.
                                                     if (this->hasBegunLeadership)
                                                         logGrantingStart(start);
                                                 }})
    , registrar(EndpointRegistrarSettings{.adoptsPrimaries = settings.adoptsPrimaries,
                                          .endpointTimeout = settings.endpointTimeout})
    , commander(this->random)
    , endpointHooks(hooks.endpointHooks.fence ? hooks.endpointHooks : commander.roleHooks())
    , burn("control")
    , failover(settings.failover, this->makeFailoverHooks())
    , departures(settings.departures, this->makeDepartureHooks())
{
}

auto ControlTables::checkAnnounced(const Announcement &announcement) const -> absl::Status
{
    auto status = checkAnnouncement(announcement, this->hooks.wallClock()).toStatus();
    if (!status.ok()) {
        logLine(LogLevel::Warning, "endpoint", "announcement refused",
                {{"endpoint", announcement.endpoint},
                 {"group", announcement.group},
                 {"reason", std::string(status.message())}});
    }
    return status;
}

auto ControlTables::decide(const Announcement &announcement, const FleetObjects &state,
                           TimePoint now) -> EndpointDecision
{
    auto decision = this->registrar.decide(announcement, state, now);
    this->metrics.countAnnouncement(decision.verdict);
    // Outdated ones are routine: entries repeat what they have heard.
    if (decision.verdict != AnnouncementVerdict::Accepted
        && decision.verdict != AnnouncementVerdict::Outdated) {
        logLine(LogLevel::Warning, "endpoint", "announcement refused",
                {{"endpoint", announcement.endpoint},
                 {"group", announcement.group},
                 {"reason", std::string(nameOf(decision.verdict))}});
    }
    return decision;
}

auto ControlTables::announce(const Announcement &announcement) -> absl::Status
{
    if (auto status = this->checkAnnounced(announcement); !status.ok())
        return status;
    const auto state = this->store.objects();
    const auto now = this->executor.now();
    const auto decision = this->decide(announcement, state, now);
    if (decision.verdict == AnnouncementVerdict::Accepted && !announcement.gone)
        this->failover.endpointAnnounced(
            announcement.group,
            {.endpoint = announcement.endpoint, .startedAt = announcement.startedAt}, now);
    auto commands = decision.commands;
    if (!commands.empty()) {
        logLine(LogLevel::Info, "endpoint",
                announcement.leaving ? "endpoint leaves" : "endpoint announced",
                {{"endpoint", announcement.endpoint},
                 {"group", announcement.group},
                 {"address", announcement.address},
                 {"primary", announcement.primary ? "true" : "false"},
                 {"sequence", std::to_string(announcement.sequence)},
                 {"changes", std::to_string(commands.size())}});
    }
    if (announcement.gone && commands.empty()) {
        logLine(LogLevel::Info, "endpoint", "departure changes nothing yet",
                {{"endpoint", announcement.endpoint},
                 {"known", state.find<Endpoint>(announcement.endpoint) ? "true" : "false"}});
    }
    if (!announcement.leaving) {
        if (decision.verdict == AnnouncementVerdict::Accepted)
            this->departures.stays(
                {.name = announcement.endpoint, .startedAt = announcement.startedAt}, now);
        for (auto &body : commands)
            this->submitInternal(std::move(body));
        return absl::OkStatus();
    }
    for (auto &body : commands) {
        const auto result = this->run(this->makeCommand(std::move(body)), CommandWait::Committed,
                                      DEPARTURE_TIME_LIMIT);
        if (!result.ok())
            return absl::UnavailableError("the departure was not committed");
    }
    if (announcement.gone)
        return absl::OkStatus();
    if (decision.verdict == AnnouncementVerdict::Accepted)
        return this->awaitHandover(announcement, now + DEPARTURE_TIME_LIMIT);
    // A late announcement is no other departure than the one under way.
    return this->departures.isUnderWay(announcement.endpoint)
               ? absl::UnavailableError("the handover is under way")
               : absl::OkStatus();
}

auto ControlTables::maintainEndpoints(TimePoint now) -> void
{
    // Before the leadership has begun, the times at which something was last heard of are those of
    // an earlier leadership.
    if (!this->isLeading(now))
        return;
    const auto state = this->store.objects();
    state.table<Group>().forEach([&](const Group &group) {
        const auto *primary = state.find<Endpoint>(group.primary);
        const auto staysPrimary = primary == nullptr || !isOutOfService(state, *primary);
        if (staysPrimary || group.phase != GroupPhase::Serving)
            return;
        for (const auto &name : state.endpointsOf(group.name)) {
            const auto *other = state.find<Endpoint>(name);
            if (other == nullptr || isOutOfService(state, *other))
                continue;
            // An error means that a failover of the group is already under way.
            std::ignore = this->failover.promotePlanned(group.name, name, now);
            return;
        }
    });
    for (auto &body : this->registrar.removalsOfUnresponsive(state, now))
        this->submitInternal(std::move(body));
    for (auto &body : this->entryRegistrar.removalsOfUnresponsive(state, now))
        this->submitInternal(std::move(body));
}

auto ControlTables::committed(Revision index, const std::string &payload) -> void
{
    const auto result = this->store.apply(index, payload);
    this->stateChanged(false);
    this->heldResponses.revisionReached(index, this->executor.now());
    this->pipeline.committed(index, result);
}

auto ControlTables::installed(const std::string &snapshot) -> void
{
    const auto status = this->store.install(snapshot);
    // A snapshot with a valid checksum that can't be decoded comes from an incompatible version.
    if (!status.ok())
        std::abort();
    this->stateChanged(true);
    this->heldResponses.revisionReached(this->store.revision(), this->executor.now());
}

auto ControlTables::stateChanged(bool isWhole) -> void
{
    auto objects = this->store.objects();
    const auto now = this->executor.now();
    objects.table<Organisation>().forEach([&](const Organisation &organisation) {
        if (!isWhole && organisation.changedAt <= this->previousObjects.revision())
            return;
        const auto limits = toLimits(organisation);
        logLine(LogLevel::Info, "quota", "limits set",
                {{"organisation", organisation.name},
                 {"rate_per_s", absl::StrCat(organisation.ratePerSecond)},
                 {"burst", absl::StrCat(organisation.burst)},
                 {"revision", absl::StrCat(organisation.changedAt)}});
        this->ledger.setLimits(organisation.name, limits, now);
    });
    this->logZoneChanges(objects);
    this->previousObjects.table<Organisation>().forEach([&](const Organisation &organisation) {
        if (objects.find<Organisation>(organisation.name) == nullptr)
            this->ledger.removeLimits(organisation.name, now);
    });
    objects.table<Group>().forEach([&](const Group &group) {
        this->failover.groupChanged(toFailoverGroup(objects, group), now);
    });
    this->previousObjects.table<Group>().forEach([&](const Group &group) {
        if (objects.find<Group>(group.name) == nullptr)
            this->failover.groupRemoved(group.name);
    });
    this->burn.setObjectives(burnObjectivesOf(std::make_shared<const FleetObjects>(objects)));
    this->previousObjects = std::move(objects);
}

auto ControlTables::mayGrantShares(const std::string &instance, TimePoint now) -> bool
{
    return this->entryRegistrar.admits(
        instance, this->store.objects(), now,
        [this](CommandBody body) { this->submitInternal(std::move(body)); });
}

auto ControlTables::leadershipChanged(bool leads, Term term) -> void
{
    const auto now = this->executor.now();
    if (leads) {
        this->leases.beginLeadership(this->store.revision(), now);
        this->beginGranting(term, now);
        this->failover.beginLeadership(now);
        this->registrar.beginLeadership(now);
        this->hasBegunLeadership = true;
    } else {
        this->hasBegunLeadership = false;
        this->leases.endLeadership();
        this->failover.endLeadership(now);
        this->departures.endLeadership();
    }
}

auto ControlTables::beginGranting(Term term, TimePoint now) -> void
{
    const auto state = this->store.objects();
    auto leadership = ShareLeadership{.number = term};
    state.table<Entry>().forEach(
        [&](const Entry &entry) { leadership.earlierHolders.insert(entry.name); });
    logLine(LogLevel::Info, "quota",
            "share grants wait for reports from the entries of the previous leader",
            {{"term", absl::StrCat(term)},
             {"entries", absl::StrCat(leadership.earlierHolders.size())}});
    this->entryRegistrar.beginLeadership(state, now);
    this->ledger.beginLeadership(std::move(leadership), now);
}

auto ControlTables::isLeading(TimePoint now) const -> bool
{
    return this->hasBegunLeadership && this->hooks.isLeaderWithQuorum(now);
}

auto ControlTables::tick(TimePoint now) -> void
{
    this->leases.advance(now);
    this->heldResponses.expire(now);
    this->ledger.expire(now);
    this->failover.tick(now);
    this->departures.tick(now);
    if (now >= this->nextMaintenance) {
        this->nextMaintenance = now + MAINTENANCE_INTERVAL;
        this->maintainEndpoints(now);
    }
}

} // namespace auburnrail
