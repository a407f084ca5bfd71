#include <entry/EntryTables.h>

#include <daemon/Logging.h>
#include <observe/BurnObjectives.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace auburnrail {

namespace {

constexpr auto OPEN_TIME_LIMIT = std::chrono::milliseconds(2000);
/// Longest time an endpoint holds an await, so that the next one can carry a later position.
constexpr auto AWAIT_HOLD = std::chrono::milliseconds(500);
constexpr auto AWAIT_TIME_LIMIT = std::chrono::milliseconds(1000);

constexpr auto EXPLAIN_RECORDS = std::size_t(4096);
constexpr auto METRIC_SERIES = std::size_t(1024);

/// Label that operators set to take an endpoint out of service; announcements set `leaving`.
constexpr auto DRAIN_LABEL = "drain";

auto isDrained(const Endpoint &endpoint) -> bool
{
    const auto label = endpoint.labels.find(DRAIN_LABEL);
    return label != endpoint.labels.end() && label->second == "true";
}

auto describe(const Endpoint &endpoint, const Group *group) -> EndpointDescription
{
    auto description = EndpointDescription();
    description.name = endpoint.name;
    description.group = endpoint.group;
    description.zone = endpoint.zone;
    description.address = endpoint.address;
    description.labels = endpoint.labels;
    description.leaving = endpoint.leaving || isDrained(endpoint);
    if (group != nullptr) {
        description.term = group->term;
        description.primary =
            group->phase == GroupPhase::Serving && group->primary == endpoint.name;
    }
    return description;
}

} // namespace

EntryTables::EntryTables(const EntryIdentity &entryIdentity, Executor entryExecutor,
                         RandomSource entryRandom, const EndpointChoice &sessionChoice)
    : identity(entryIdentity)
    , executor(std::move(entryExecutor))
    , random(std::move(entryRandom))
    , leaseGate(this->executor.now())
    , shares(HolderId{identity.instance, identity.incarnation}, identity.zone, QuotaTiming())
    , tokens(HolderId{identity.instance, identity.incarnation}, QuotaTiming(),
             TokenRequesterHooks{.timeToOwnToken =
                                     [this](const std::string &organisation, TimePoint now) {
                                         return this->shares.timeToToken(organisation, now);
                                     },
                                 .requestWanted =
                                     [this] {
                                         if (this->tokenListener)
                                             this->tokenListener();
                                     },
                                 .requestBegins =
                                     [this] {
                                         this->shares.tokensRequested();
                                     }})
    , admission(RateAdmissionHooks{
          .tryAcquire =
              [this](const std::string &organisation, TimePoint now) {
                  return this->shares.tryAcquire(organisation, now);
              },
          .tryAcquireQueued =
              [this](const std::string &organisation, TimePoint now) {
                  return this->shares.tryAcquireQueued(organisation, now);
              },
          .timeToToken =
              [this](const std::string &organisation, TimePoint now) {
                  return this->shares.timeToToken(organisation, now);
              },
          .forecast = [this](const std::string &organisation,
                             TimePoint now) { return this->tokens.forecast(organisation, now); },
          .setBacklog =
              [this](const std::string &organisation, std::size_t waiting, TimePoint now) {
                  this->shares.setBacklog(organisation, waiting, now);
                  this->tokens.setBacklog(organisation, waiting, now);
              }})
    , endpoints(identity.zone, sessionChoice,
                sessionChoice ? REMOTE_PROBE_INTERVAL_MS : EndpointTable::PROBE_INTERVAL_MS)
    , connections(EndpointSocketsHooks{
          .resolve = [this](const std::string &endpoint) -> std::optional<std::string> {
              const auto view = this->endpoints.find(endpoint, this->executor.now());
              return view ? std::optional(view->address) : std::nullopt;
          },
          .random = random})
    , pool(ConnectionPoolHooks{
          .open = [this](const ConnectionHandle &handle) { this->openConnection(handle); },
          .close = [this](const ConnectionHandle &handle) { this->connections.close(handle); },
          .makeQueue = {}})
    , replication(ReplicationHooks{
          .sendAwait =
              [this](const std::string &group, const std::string &endpoint, Position position) {
                  this->sendAwait(group, endpoint, position);
              }})
    , transactions(identity.instance,
                   TransactionHooks{.abandon =
                                        [this](const PinnedTransaction &transaction) {
                                            this->pool.release(transaction.connection, false,
                                                               this->executor.now());
                                            this->endpoints.end(transaction.connection.endpoint);
                                        }})
    , sessions(identity.clusterSecret, random)
    , explain(EXPLAIN_RECORDS)
    , burn(identity.instance + "/" + std::to_string(identity.incarnation))
    , metrics(METRIC_SERIES)
{
}

auto EntryTables::openConnection(const ConnectionHandle &handle) -> void
{
    this->executor.post([this, handle] {
        const auto status = this->connections.open(handle, OPEN_TIME_LIMIT);
        if (status.ok())
            this->pool.opened(handle, this->executor.now());
        else
            this->pool.openFailed(handle, status, this->executor.now());
    });
}

auto EntryTables::sendAwait(const std::string &group, const std::string &endpoint,
                            Position position) -> void
{
    this->executor.post([this, group, endpoint, position] {
        auto request = EndpointRequest();
        request.operation = EndpointOperation::Await;
        request.term = position.term;
        request.minimumPosition = position;
        request.waitLimit = AWAIT_HOLD;
        const auto end = this->connections.exchangeOnce(endpoint, request, AWAIT_TIME_LIMIT);
        const auto answered = end.phase == EndpointExchangePhase::Answered;
        this->replication.awaitEnded(
            group, endpoint, answered ? std::optional(end.response.position) : std::nullopt);
    });
}

auto EntryTables::stateChanged() -> void
{
    const auto objects = this->state.snapshot();
    auto descriptions = std::vector<EndpointDescription>();
    objects->table<Group>().forEach([&](const Group &group) {
        auto names = std::vector<std::string>();
        for (const auto &name : objects->endpointsOf(group.name)) {
            const auto *endpoint = objects->find<Endpoint>(name);
            if (endpoint == nullptr)
                continue;
            names.push_back(name);
            auto description = describe(*endpoint, &group);
            description.evacuated = objects->isEvacuated(endpoint->zone);
            descriptions.push_back(std::move(description));
            this->pool.setLimit(name, endpoint->connectionLimit);
        }
        this->replication.setGroup(group.name, group.term, names);
        if (group.phase == GroupPhase::Fencing)
            this->acknowledged.primaryReplaced(group.name, group.term, this->executor.now());
        else
            this->acknowledged.primaryPublished(group.name, group.term);
    });
    this->endpoints.updateFromState(descriptions, this->executor.now());
    this->burn.setObjectives(burnObjectivesOf(objects));
    if (this->stateListener)
        this->stateListener();
}

auto EntryTables::setStateListener(std::function<auto()->void> listener) -> void
{
    this->stateListener = std::move(listener);
}

auto EntryTables::setTokenListener(std::function<auto()->void> listener) -> void
{
    this->tokenListener = std::move(listener);
}

auto EntryTables::fleetSize() const -> FleetSize
{
    return this->lastFleetSize;
}

auto EntryTables::setFleetSize(FleetSize size) -> void
{
    const auto known = FleetSize{.entries = std::max<std::size_t>(size.entries, 1),
                                 .zoneEntries = std::max<std::size_t>(size.zoneEntries, 1)};
    if (this->lastFleetSize.exchange(known) != known && this->stateListener)
        this->stateListener();
}

auto EntryTables::setRelayPeers(const std::vector<RelayPeer> &peers) -> void
{
    this->relayPeers.update(peers);
    logLine(LogLevel::Info, "relay", "list of peers received",
            {{"peers", absl::StrCat(peers.size())}});
    if (this->stateListener)
        this->stateListener();
}

auto EntryTables::countRequest(const CallerResponse &response, Duration latency) -> void
{
    const auto requests = this->metrics.series(
        MetricKind::Counter, "auburnrail_requests_total", "Requests answered, by reason.",
        {{"reason", std::string(nameOf(response.reason))},
         {"replica", response.servedByReplica ? "true" : "false"}});
    this->metrics.add(requests);
    const auto seconds =
        this->metrics.series(MetricKind::Distribution, "auburnrail_request_seconds",
                             "Time from receiving a request to its answer.");
    this->metrics.record(seconds, std::chrono::duration<double>(latency).count());
}

auto EntryTables::metricsText() -> std::string
{
    const auto leaseHeld = this->metrics.series(MetricKind::Gauge, "auburnrail_lease_held",
                                                "1 while the entry holds its lease.");
    this->metrics.set(leaseHeld, this->lease.holds(this->executor.now()) ? 1 : 0);
    const auto revision = this->metrics.series(MetricKind::Gauge, "auburnrail_applied_revision",
                                               "Revision of the fleet state in force here.");
    this->metrics.set(revision, static_cast<double>(this->state.revision()));
    return this->metrics.toText();
}

auto EntryTables::expire(TimePoint now) -> void
{
    std::ignore = this->admission.advance(now);
    this->leaseGate.advance(now);
    this->pool.expire(now);
    this->replication.expire(now);
    this->transactions.expire(now);
}

} // namespace auburnrail
