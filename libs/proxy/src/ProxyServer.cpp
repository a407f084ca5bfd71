#include <proxy/ProxyServer.h>

#include <proxy/ConnectionShare.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <utility>

namespace auburnrail {

namespace {

/// Passes the messages in `bytes` to `session`; returns the number of bytes consumed.
auto feed(ProxySession &session, const ClientCodec &codec, std::string_view bytes) -> std::size_t
{
    auto consumed = std::size_t(0);
    while (auto input = codec.decode(bytes.substr(consumed))) {
        consumed += input->bytes;
        if (auto *statement = std::get_if<ClientStatement>(&input->message); statement != nullptr)
            session.enqueue(std::move(*statement));
        else if (const auto *opening = std::get_if<SessionOpening>(&input->message);
                 opening != nullptr)
            session.open(*opening);
        else if (const auto *malformed = std::get_if<MalformedInput>(&input->message);
                 malformed != nullptr)
            session.refuseInput(malformed->reason);
        else
            session.clientFinished();
    }
    return consumed;
}

} // namespace

ProxyServer::ProxyServer(ProxyServerSettings serverSettings, ProxyServerHooks serverHooks,
                         EndpointTable &endpointTable)
    : settings(std::move(serverSettings))
    , hooks(std::move(serverHooks))
    , pool(settings.threads, hooks.threadRefused)
    , executor(pool.executor())
    , endpoints(endpointTable)
    , serverConnections(pool, endpoints, positions, makeServerConnectionsHooks())
    , placement(
          endpoints, positions, [this](const std::string &group) { return this->groupView(group); },
          hooks.random)
    , listener(
          pool, settings.address, StreamLimits(),
          [this](const StreamConnection::Pointer &connection) { this->accept(connection); },
          hooks.acceptRefused)
{
}

ProxyServer::~ProxyServer()
{
    this->stop();
}

auto ProxyServer::start() -> absl::Status
{
    if (auto status = this->listener.start(); !status.ok())
        return status;
    this->scheduleTick();
    return absl::OkStatus();
}

auto ProxyServer::port() const -> std::uint16_t
{
    return this->listener.port();
}

auto ProxyServer::scheduleTick() -> void
{
    this->executor.postAfter(TICK_INTERVAL_MS, [this] {
        const auto now = this->executor.now();
        this->serverConnections.advance(now);
        this->serverConnections.probeDue(now);
        this->scheduleTick();
    });
}

auto ProxyServer::groupView(const std::string &group) -> GroupView
{
    const auto objects = this->hooks.state();
    const auto *known = objects->find<Group>(group);
    if (known == nullptr)
        return GroupView{.group = group};
    return GroupView{.group = group,
                     .term = known->term,
                     .primary = known->primary,
                     .serving = known->phase == GroupPhase::Serving && !known->primary.empty(),
                     .isAwaitingEvidence = known->isAwaitingEvidence};
}

auto ProxyServer::makeServerConnectionsHooks() -> ServerConnectionsHooks
{
    return ServerConnectionsHooks{
        .codec = this->hooks.serverCodec,
        .executor = this->executor,
        .addressOf = [this](const std::string &endpoint) -> std::optional<std::string> {
            const auto objects = this->hooks.state();
            const auto *known = objects->find<Endpoint>(endpoint);
            return known == nullptr ? std::nullopt : std::optional(known->address);
        },
        .groupOf = [this](const std::string &endpoint) -> std::string {
            const auto objects = this->hooks.state();
            const auto *known = objects->find<Endpoint>(endpoint);
            return known == nullptr ? std::string() : known->group;
        },
        .groupView = [this](const std::string &group) { return this->groupView(group); },
        .primaryNamed = this->hooks.primaryNamed,
        .relay = this->hooks.relay,
        .relayProbe = this->hooks.relayProbe,
        .count = this->hooks.countConnection};
}

auto ProxyServer::makeSessionHooks(const StreamConnection::Pointer &connection) -> ProxySessionHooks
{
    const auto weak = std::weak_ptr(connection);
    const auto send = [weak](std::string bytes) {
        if (const auto open = weak.lock(); open != nullptr)
            open->send(std::move(bytes));
    };
    const auto &codec = this->hooks.clientCodec;
    return ProxySessionHooks{
        .statements =
            StatementHooks{
                .executor = connection->executor(),
                .holdsLease = this->hooks.holdsLease,
                .isCurrentPrimary =
                    [this](const std::string &group, const PooledConnection &serverConnection) {
                        return this->groupView(group).isServedBy(serverConnection.handle.endpoint,
                                                                 serverConnection.term);
                    },
                .awaitLease = this->hooks.awaitLease,
                .place = [this](const PlacementRequest &request,
                                TimePoint now) { return this->placement.place(request, now); },
                .mayContinueAt =
                    [this](const std::string &endpoint, TimePoint now) {
                        return this->placement.mayContinueAt(endpoint, now);
                    },
                .isAwaitingEvidence =
                    [this](const std::string &group) {
                        return this->groupView(group).isAwaitingEvidence;
                    },
                .isOutOfService =
                    [this](const std::string &group, TimePoint now) {
                        return this->placement.isOutOfService(group, now);
                    },
                .lease =
                    [this](const Placement &chosen, const StatementRequest &request, auto done) {
                        this->serverConnections.lease(chosen, request, std::move(done));
                    },
                .release =
                    [this](const PooledConnectionPointer &serverConnection, bool reusable) {
                        this->serverConnections.release(serverConnection, reusable);
                    },
                .acknowledge = this->hooks.acknowledge,
                .observe =
                    [this](const PooledConnection &serverConnection, const ServerOutcome &outcome) {
                        this->serverConnections.observe(serverConnection, outcome);
                    }},
        .state = this->hooks.state,
        .admit = this->hooks.admit,
        .rollBack =
            [this](const PooledConnectionPointer &serverConnection) {
                this->serverConnections.rollBack(serverConnection);
            },
        .sendOpened = [send, &codec] { send(codec.encodeOpened()); },
        .sendResponse =
            [send, &codec](const StatementResponse &response) {
                send(codec.encodeResponse(response));
            },
        .sendRefusal =
            [send, &codec](const StatementFailure &failure) { send(codec.encodeRefusal(failure)); },
        .close =
            [weak] {
                if (const auto open = weak.lock(); open != nullptr)
                    open->closeAfterSending();
            },
        .report = this->hooks.report};
}

auto ProxyServer::accept(const StreamConnection::Pointer &connection) -> void
{
    const auto session = std::make_shared<ProxySession>(this->makeSessionHooks(connection),
                                                        this->settings.clusterSecret);
    auto number = std::uint64_t(0);
    {
        const RankedLock lock(this->mutex);
        if (this->draining || this->sessions.size() >= this->settings.maxSessions) {
            connection->close();
            return;
        }
        number = ++this->lastNumber;
        this->sessions.emplace(number, OpenSession{session, connection});
    }
    connection->start(StreamHooks{.received =
                                      [this, session](std::string_view bytes) {
                                          return feed(*session, this->hooks.clientCodec, bytes);
                                      },
                                  .closed =
                                      [this, session, number] {
                                          session->clientDisconnected();
                                          this->forget(number);
                                      }});
}

auto ProxyServer::forget(std::uint64_t number) -> void
{
    const RankedLock lock(this->mutex);
    this->sessions.erase(number);
}

auto ProxyServer::stateChanged(const FleetSize &fleet) -> void
{
    const auto objects = this->hooks.state();
    this->endpoints.setEntryCount(fleet.entries);
    auto limits = std::map<std::string, std::size_t>();
    objects->table<Service>().forEach([&](const Service &service) {
        auto &limit = limits[service.group];
        limit = std::max<std::size_t>(limit, service.connectionLimit);
    });
    objects->table<Group>().forEach([&](const Group &group) {
        this->positions.setTerm(group.name, group.term);
        for (const auto &name : objects->endpointsOf(group.name)) {
            const auto *endpoint = objects->find<Endpoint>(name);
            if (endpoint == nullptr)
                continue;
            const auto inputs =
                ConnectionShareInputs{.connections = limits[group.name],
                                      .entries = fleet.entries,
                                      .zoneEntries = fleet.zoneEntries,
                                      .isLocal = endpoint->zone == this->settings.zone,
                                      .isPrimary = group.primary == name};
            const auto holders = inputs.isLocal && isRelayed(inputs) && this->hooks.holdersBeside
                                     ? this->hooks.holdersBeside(endpoint->zone)
                                     : 0;
            auto &connections = this->serverConnections.pool();
            if (holders > 0)
                connections.setLimit(name, holderShare(inputs.connections, holders),
                                     IdlePolicy::Hold);
            else
                connections.setLimit(name, connectionShare(inputs), idlePolicyFor(inputs));
        }
    });
}

auto ProxyServer::forEachSession(const std::function<auto(ProxySession &)->void> &action) -> void
{
    auto open = std::vector<OpenSession>();
    {
        const RankedLock lock(this->mutex);
        for (const auto &[number, session] : this->sessions)
            open.push_back(session);
    }
    for (const auto &session : open) {
        session.connection->executor().post(
            [action, target = session.session] { action(*target); });
    }
}

auto ProxyServer::drain() -> void
{
    this->listener.stop();
    {
        const RankedLock lock(this->mutex);
        this->draining = true;
    }
    this->forEachSession([](ProxySession &session) { session.drain(); });
}

auto ProxyServer::endSessions() -> void
{
    this->forEachSession([](ProxySession &session) { session.endNow(); });
}

auto ProxyServer::openSessions() -> std::size_t
{
    const RankedLock lock(this->mutex);
    return this->sessions.size();
}

auto ProxyServer::connections() -> ServerConnections &
{
    return this->serverConnections;
}

auto ProxyServer::primaryPositions() -> PrimaryPositions &
{
    return this->positions;
}

auto ProxyServer::ioPool() -> IoPool &
{
    return this->pool;
}

auto ProxyServer::stop() -> void
{
    this->pool.stop();
}

} // namespace auburnrail
