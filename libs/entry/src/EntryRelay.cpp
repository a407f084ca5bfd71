#include <entry/EntryRelay.h>

#include <daemon/Logging.h>
#include <wire/RelayEncoding.h>

#include <utility>

namespace auburnrail {

namespace {

constexpr auto TICK_INTERVAL_MS = std::chrono::milliseconds(50);

/// A holder that refuses for a reason of its own is passed over for this long: about the time that
/// a change of the state or of a lease takes to arrive.
constexpr auto REFUSED_FOR_MS = std::chrono::milliseconds(300);

/// A status that is not older than this is passed on without asking the server.
constexpr auto STATUS_LIFETIME_MS = std::chrono::milliseconds(250);

constexpr auto STATUS_TIME_LIMIT_MS = std::chrono::milliseconds(500);

auto makeOpening(const Placement &placement, const StatementRequest &request, TimePoint now)
    -> RelayOpening
{
    const auto wanted = connectionRequestFor(placement, request);
    return RelayOpening{.endpoint = placement.endpoint,
                        .group = request.group,
                        .organisation = request.organisation,
                        .isPrimary = placement.isPrimary,
                        .term = placement.term,
                        .priority = wanted.priority,
                        .objectiveLeft = wanted.objectiveEnd - now,
                        .startLeft = wanted.deadline - now,
                        .opensTransaction = wanted.opensTransaction};
}

} // namespace

EntryRelay::EntryRelay(EntryTables &entryTables, ProxyServer &proxyServer)
    : tables(entryTables)
    , server(proxyServer)
    , executor(proxyServer.ioPool().executor())
    , routes(tables.identity.instance, tables.relayPeers)
    , links(proxyServer.ioPool(), makeLinksHooks())
    , relayServer(proxyServer.ioPool(), tables.identity.relayAddress, makeServerHooks())
{
}

auto EntryRelay::makeLinksHooks() -> RelayLinksHooks
{
    return RelayLinksHooks{
        .codec = makeRelayCodec(),
        .executor = this->executor,
        .instance = this->tables.identity.instance,
        .clusterSecret = this->tables.identity.clusterSecret,
        .peerFailed =
            [this](const std::string &instance, const std::string &reason) {
                logLine(LogLevel::Warning, "relay", "peer is not used for a while",
                        {{"peer", instance}, {"reason", reason}});
                this->tables.relayPeers.markFailed(instance, this->executor.now()
                                                                 + RelayPeers::FAILED_FOR_MS);
            },
        .peerRefused =
            [this](const std::string &instance, RelayRefusal refusal) {
                logLine(LogLevel::Info, "relay", "peer refused a statement",
                        {{"peer", instance}, {"reason", std::string(nameOf(refusal))}});
                const auto passedOverFor = refusal == RelayRefusal::ShuttingDown
                                               ? Duration(RelayPeers::FAILED_FOR_MS)
                                               : Duration(REFUSED_FOR_MS);
                this->tables.relayPeers.markFailed(instance, this->executor.now() + passedOverFor);
            },
        .loadReported =
            [this](const std::string &endpoint, const RelayLoad &load, TimePoint sentAt) {
                this->takeLoad(endpoint, load, sentAt);
            }};
}

auto EntryRelay::makeServerHooks() -> RelayServerHooks
{
    auto &connections = this->server.connections();
    return RelayServerHooks{
        .codec = makeRelayCodec(),
        .now = this->executor.now,
        .clusterSecret = this->tables.identity.clusterSecret,
        .random = this->tables.random,
        .refusalOf = [this](const RelayOpening &opening, bool inTransaction,
                            TimePoint now) { return this->refusalOf(opening, inTransaction, now); },
        .lease =
            [&connections](
                const Placement &placement, const ConnectionRequest &request,
                std::function<auto(absl::StatusOr<PooledConnectionPointer>)->void> done) {
                connections.leaseOwn(placement, request, std::move(done));
            },
        .release = [&connections](const PooledConnectionPointer &connection,
                                  bool reusable) { connections.release(connection, reusable); },
        .observe =
            [&connections](const PooledConnection &connection, const ServerOutcome &outcome) {
                connections.observe(connection, outcome);
            },
        .loadOf = [this](const std::string &endpoint) { return this->loadOf(endpoint); },
        .status =
            [this](const std::string &endpoint,
                   std::function<auto(std::optional<RelayServerHooks::Status>)->void> done) {
                this->answerStatus(endpoint, std::move(done));
            },
        .acceptRefused = refusalLogger("relay", "can't accept a connection"),
        .peerRejected =
            [](const std::string &reason) {
                logLine(LogLevel::Warning, "relay", "peer rejected", {{"reason", reason}});
            }};
}

auto EntryRelay::start() -> absl::Status
{
    if (auto status = this->relayServer.start(); !status.ok())
        return status;
    this->scheduleTick();
    return absl::OkStatus();
}

auto EntryRelay::scheduleTick() -> void
{
    this->executor.postAfter(TICK_INTERVAL_MS, [this] {
        this->links.advance(this->executor.now());
        this->scheduleTick();
    });
}

auto EntryRelay::stateChanged() -> void
{
    this->routes.update(*this->tables.state.snapshot(), this->tables.fleetSize().entries);
}

auto EntryRelay::relay(const Placement &placement, const StatementRequest &request)
    -> PooledConnectionPointer
{
    const auto now = this->executor.now();
    const auto holder = this->routes.holderOf(placement.endpoint, request.organisation, now);
    if (!holder)
        return nullptr;
    return this->links.openChannel(*holder, makeOpening(placement, request, now));
}

auto EntryRelay::relayProbe(const EndpointView &view) -> bool
{
    const auto holder = this->routes.statusHolderOf(view.name, this->executor.now());
    if (!holder)
        return false;
    this->links.requestStatus(
        *holder, view.name, STATUS_TIME_LIMIT_MS,
        [this, view](const std::optional<RelayStatusResponse> &response, TimePoint sentAt) {
            this->takeStatus(view, response, sentAt);
        });
    return true;
}

auto EntryRelay::takeStatus(const EndpointView &view,
                            const std::optional<RelayStatusResponse> &response, TimePoint sentAt)
    -> void
{
    // Only an own attempt tells whether this entry can reach the server.
    if (!response || !response->known) {
        this->routes.statusUnknown(view.name, this->executor.now());
        this->server.connections().probe(view, {});
        return;
    }
    const auto now = this->executor.now();
    const auto group = this->server.groupView(view.group);
    this->tables.endpoints.recordResponse(
        view.name,
        EndpointObservation{.position = response->position,
                            .term = response->position.term,
                            .primary = group.isServedBy(view.name, group.term),
                            .sentAt = sentAt - response->age,
                            .responseTime = now - sentAt,
                            .measuresTime = false},
        now);
    this->takeLoad(view.name, response->load, sentAt);
}

auto EntryRelay::takeLoad(const std::string &endpoint, const RelayLoad &load, TimePoint sentAt)
    -> void
{
    const auto view = this->tables.endpoints.find(endpoint, this->executor.now());
    if (!view || !load.primaryPosition)
        return;
    // The holder's sample was `primaryAge` old when it responded, which was after `sentAt`.
    this->server.primaryPositions().record(view->group, load.primaryTerm, *load.primaryPosition,
                                           sentAt - load.primaryAge);
}

auto EntryRelay::refusalOf(const RelayOpening &opening, bool inTransaction, TimePoint now)
    -> RelayRefusal
{
    if (!this->tables.lease.holds(now))
        return RelayRefusal::NoLease;
    const auto view = this->tables.endpoints.find(opening.endpoint, now);
    const auto isEvacuated = view && view->evacuatedAt
                             && now - *view->evacuatedAt >= EndpointTable::EVACUATED_TRANSACTION_MS;
    if (!view || (view->leaving && !inTransaction) || isEvacuated || view->group != opening.group)
        return RelayRefusal::Outdated;
    const auto isOutdated =
        opening.isPrimary
        && !this->server.groupView(opening.group).isServedBy(opening.endpoint, opening.term);
    return isOutdated ? RelayRefusal::Outdated : RelayRefusal::None;
}

auto EntryRelay::loadOf(const std::string &endpoint) -> RelayLoad
{
    auto load = RelayLoad();
    const auto now = this->executor.now();
    const auto view = this->tables.endpoints.find(endpoint, now);
    if (!view)
        return load;
    load.inFlight = view->inFlight;
    load.responseTime = view->responseTime;
    if (const auto sample = this->server.primaryPositions().newest(view->group); sample) {
        load.primaryTerm = sample->first;
        load.primaryPosition = sample->second.position;
        load.primaryAge = now - sample->second.sentAt;
    }
    return load;
}

auto EntryRelay::recentStatus(const std::string &endpoint)
    -> std::optional<RelayServerHooks::Status>
{
    const auto now = this->executor.now();
    const auto view = this->tables.endpoints.find(endpoint, now);
    if (!view || !view->observedAt || now - *view->observedAt > STATUS_LIFETIME_MS)
        return std::nullopt;
    return RelayServerHooks::Status{.position = view->position, .age = now - *view->observedAt};
}

auto EntryRelay::answerStatus(
    const std::string &endpoint,
    std::function<auto(std::optional<RelayServerHooks::Status>)->void> done) -> void
{
    if (const auto status = this->recentStatus(endpoint); status) {
        done(status);
        return;
    }
    const auto view = this->tables.endpoints.find(endpoint, this->executor.now());
    if (!view) {
        done(std::nullopt);
        return;
    }
    const auto isFirst = this->statusCalls.add(
        endpoint, [this, endpoint, done = std::move(done)] { done(this->recentStatus(endpoint)); });
    if (!isFirst)
        return;
    this->server.connections().probe(*view, [this, endpoint](bool /*responded*/) {
        for (const auto &call : this->statusCalls.take(endpoint))
            call();
    });
}

auto EntryRelay::drain() -> void
{
    this->relayServer.drain();
}

auto EntryRelay::busyChannels() const -> std::size_t
{
    return this->relayServer.busyChannels();
}

} // namespace auburnrail
