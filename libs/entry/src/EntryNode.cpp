#include <entry/EntryNode.h>

#include <daemon/Logging.h>
#include <wire/ControlClient.h>

#include <future>
#include <map>

namespace auburnrail {

namespace {

/// Each probe, await and opening of a connection blocks one worker.
constexpr auto WORKER_LIMIT = std::size_t(32);
constexpr auto EXPIRY_INTERVAL = std::chrono::milliseconds(10);
constexpr auto DRAIN_CHECK_INTERVAL = std::chrono::milliseconds(20);

auto makeIdentity(const EntrySettings &settings, const std::string &clusterSecret,
                  const RandomSource &random) -> EntryIdentity
{
    return EntryIdentity{.instance = settings.instance,
                         .incarnation = random() >> 1U, // Thrift has signed integers only.
                         .zone = settings.zone,
                         .operatorsAddress = settings.operatorsAddress,
                         .relayAddress = settings.relayAddress,
                         .clusterSecret = clusterSecret};
}

/// The choice of endpoints for sessions; empty for an entry that serves requests only.
auto makeSessionChoice(const EntrySettings &settings) -> EndpointChoice
{
    if (settings.sessionsAddress.empty())
        return {};
    return settings.evenLoad ? makeEvenLoad() : makeNearestFirst();
}

/// Clients of control members, created on first use. Used by one thread only.
class ControlClients
{
public:
    explicit ControlClients(const EntrySettings &settings)
        : membersByIp(settings.membersByIp)
    {
        for (const auto &member : settings.controlMembers)
            this->clients.try_emplace(member.name, member.address);
        this->anyAddress = settings.controlMembers.front().address;
    }

    auto find(const std::string &name) -> absl::StatusOr<ControlClient *>
    {
        auto found = this->clients.find(name);
        if (found == this->clients.end() && this->membersByIp)
            found = this->clients.try_emplace(name, withPortOf(name, this->anyAddress)).first;
        if (found == this->clients.end())
            return absl::NotFoundError("control member " + name + " is not known");
        return &found->second;
    }

private:
    const bool membersByIp;
    std::string anyAddress; ///< Of one member; members named by their IP all use the same port.
    std::map<std::string, ControlClient> clients;
};

auto makeHeartbeatHooks(const EntrySettings &settings, MemberReader rereadMembers)
    -> HeartbeatLoopHooks
{
    const auto clients = std::make_shared<ControlClients>(settings);
    return HeartbeatLoopHooks{
        .send = [clients](const std::string &name, const Heartbeat &heartbeat,
                          Duration timeLimit) -> absl::StatusOr<HeartbeatAnswer> {
            const auto client = clients->find(name);
            return client.ok() ? (*client)->heartbeat(heartbeat, timeLimit) : client.status();
        },
        .wallClock = systemWallClockMillis,
        .learnsMembers = settings.membersByIp,
        .rereadMembers = std::move(rereadMembers)};
}

auto makeTokenHooks(const EntrySettings &settings, HeartbeatLoop &heartbeats) -> TokenLoopHooks
{
    const auto clients = std::make_shared<ControlClients>(settings);
    return TokenLoopHooks{
        .leader = [&heartbeats] { return heartbeats.leader(); },
        .send = [clients](
                    const std::string &name, const TokenRequest &request, Duration timeLimit,
                    const std::function<auto()->bool> &isWanted) -> absl::StatusOr<TokenResponse> {
            const auto client = clients->find(name);
            return client.ok() ? (*client)->takeTokens(request, timeLimit, isWanted)
                               : client.status();
        }};
}

} // namespace

EntryNode::EntryNode(EntrySettings entrySettings, const std::string &clusterSecret,
                     const SessionCodecs &sessionCodecs, MemberReader rereadMembers)
    : settings(std::move(entrySettings))
    , workers(WORKER_LIMIT, {.refused = refusalLogger("entry", NO_ROOM_FOR_THREAD)})
    , tables(makeIdentity(settings, clusterSecret, makeSecureRandom()), workers.executor(),
             makeSecureRandom(), makeSessionChoice(settings))
    , statements(tables.metrics)
    , connectionLog(tables.metrics)
    , sessions(makeSessions(sessionCodecs))
    , relay(makeRelay())
    , probes(settings.callersAddress.empty() ? nullptr : std::make_unique<ProbeLoop>(tables))
    , callerServer(settings.callersAddress.empty()
                       ? nullptr
                       : std::make_unique<EntryServer>(settings, tables))
    , heartbeats(tables, settings.controlMembers,
                 makeHeartbeatHooks(settings, std::move(rereadMembers)))
    , tokens(tables, makeTokenHooks(settings, heartbeats))
    , operatorServer(settings, tables)
    , metricsServer(settings.metricsAddress, [this] { return this->tables.metricsText(); })
{
    this->tables.setTokenListener([this] { this->tokens.wake(); });
}

auto EntryNode::makeSessions(const SessionCodecs &codecs) -> std::unique_ptr<ProxyServer>
{
    if (this->settings.sessionsAddress.empty())
        return nullptr;
    auto hooks = ProxyServerHooks{
        .clientCodec = codecs.client,
        .serverCodec = codecs.server,
        .state = [this] { return this->tables.state.snapshot(); },
        .holdsLease = [this](TimePoint now) { return this->tables.lease.holds(now); },
        .awaitLease =
            [this](TimePoint deadline, LeaseGate::Done done) {
                this->tables.leaseGate.await(deadline, this->tables.executor.now(),
                                             std::move(done));
            },
        .admit =
            [this](const AdmissionRequest &request, OperationAdmitted done) {
                this->tables.admission.admit(request, this->tables.executor.now(), std::move(done));
            },
        .report = [this](const StatementReport &report) { this->statements.add(report); },
        .acknowledge =
            [this](const std::string &group, std::optional<Position> position,
                   const std::function<auto()->bool> &decide) {
                return this->tables.acknowledged.acknowledge(group, position, decide);
            },
        .primaryNamed =
            [this](const std::string &group, std::uint64_t term, Position position,
                   TimePoint sentAt) {
                this->tables.acknowledged.primaryNamed(group, term, position, sentAt);
            },
        .relay =
            [this](const Placement &placement, const StatementRequest &request) {
                return this->relay != nullptr ? this->relay->relay(placement, request) : nullptr;
            },
        .relayProbe =
            [this](const EndpointView &view) {
                return this->relay != nullptr && this->relay->relayProbe(view);
            },
        .holdersBeside =
            [this](const std::string &zone) {
                return this->relay != nullptr ? this->tables.relayPeers.countInZone(zone) : 0;
            },
        .countConnection =
            [this](ServerConnectionEvent event) { this->connectionLog.count(event); },
        .random = makeSecureRandom(),
        .threadRefused = refusalLogger("sessions", NO_ROOM_FOR_THREAD),
        .acceptRefused = refusalLogger("sessions", "can't accept a connection")};
    auto server = std::make_unique<ProxyServer>(
        ProxyServerSettings{.zone = this->settings.zone,
                            .address = this->settings.sessionsAddress,
                            .threads = static_cast<std::size_t>(this->settings.sessionThreads),
                            .maxSessions = static_cast<std::size_t>(this->settings.maxSessions),
                            .clusterSecret = this->tables.identity.clusterSecret},
        std::move(hooks), this->tables.endpoints);
    this->tables.setStateListener([this, target = server.get()] {
        if (this->relay != nullptr)
            this->relay->stateChanged();
        target->stateChanged(this->tables.fleetSize());
    });
    return server;
}

auto EntryNode::makeRelay() -> std::unique_ptr<EntryRelay>
{
    if (this->sessions == nullptr || this->settings.relayAddress.empty())
        return nullptr;
    return std::make_unique<EntryRelay>(this->tables, *this->sessions);
}

EntryNode::~EntryNode()
{
    // Sessions wake the token loop, which is destroyed before them.
    if (this->sessions != nullptr)
        this->sessions->stop();
    this->workers.stop();
}

auto EntryNode::start() -> absl::Status
{
    if (auto status = this->operatorServer.start(); !status.ok())
        return status;
    if (auto status = this->metricsServer.start(); !status.ok())
        return status;
    if (this->callerServer != nullptr) {
        if (auto status = this->callerServer->start(); !status.ok())
            return status;
        this->probes->start();
    }
    if (this->sessions != nullptr) {
        if (auto status = this->sessions->start(); !status.ok())
            return status;
    }
    if (this->relay != nullptr) {
        if (auto status = this->relay->start(); !status.ok())
            return status;
    }
    this->heartbeats.start();
    this->tokens.start();
    this->scheduleExpiry();
    return absl::OkStatus();
}

auto EntryNode::scheduleExpiry() -> void
{
    this->tables.executor.postAfter(EXPIRY_INTERVAL, [this] {
        this->tables.expire(this->tables.executor.now());
        this->connectionLog.tick(this->tables.executor.now());
        this->scheduleExpiry();
    });
}

auto EntryNode::shutDown() -> void
{
    const auto shutDownAt = this->tables.executor.now();
    this->operatorServer.setReady(false);
    this->pause(this->settings.readyGrace);
    if (this->sessions != nullptr)
        this->drainSessions(shutDownAt);
    if (this->callerServer != nullptr) {
        this->callerServer->drain();
        this->waitForUnfinishedWork([this] { return this->callerServer->unfinishedWork(); });
        this->tables.transactions.closeAll();
        this->callerServer->stop();
    }
    this->tokens.stop();
    this->heartbeats.stop();
    if (this->sessions != nullptr)
        this->sessions->stop();
    this->workers.stop();
    this->operatorServer.stop();
    this->metricsServer.stop();
}

auto EntryNode::drainSessions(TimePoint shutDownAt) -> void
{
    this->sessions->drain();
    if (this->relay != nullptr)
        this->relay->drain();
    const auto graceEnd = shutDownAt + this->settings.transactionGrace;
    this->pause(std::max<Duration>(graceEnd - this->tables.executor.now(), Duration::zero()));
    this->sessions->endSessions();
    this->waitForUnfinishedWork([this] {
        return this->sessions->openSessions()
               + (this->relay != nullptr ? this->relay->busyChannels() : 0);
    });
}

auto EntryNode::pause(Duration length) -> void
{
    auto over = std::promise<void>();
    this->tables.executor.postAfter(length, [&over] { over.set_value(); });
    over.get_future().wait();
}

auto EntryNode::waitForUnfinishedWork(const std::function<auto()->std::size_t> &unfinished) -> void
{
    const auto end = this->tables.executor.now() + this->settings.drainLimit;
    auto finished = std::promise<void>();
    auto check = std::function<auto()->void>();
    check = [&] {
        if (unfinished() == 0 || this->tables.executor.now() >= end)
            finished.set_value();
        else
            this->tables.executor.postAfter(DRAIN_CHECK_INTERVAL, check);
    };
    this->tables.executor.post(check);
    finished.get_future().wait();
}

} // namespace auburnrail
