#include <control/ControlNode.h>

#include <daemon/Logging.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace auburnrail {

namespace {

/// Each call to an endpoint blocks one worker.
constexpr auto WORKER_LIMIT = std::size_t(16);
constexpr auto TICK_INTERVAL = std::chrono::milliseconds(20);
/// Shorter than an election, so that every change of leader is logged.
constexpr auto MEMBERSHIP_CHECK_INTERVAL = std::chrono::milliseconds(200);
/// Where primaries are adopted from announcements: how long a group may be without one before an
/// initial failover starts.
constexpr auto ADOPTION_WAIT = std::chrono::seconds(10);
/// A promotion by the platform takes up to about a second.
constexpr auto PROMOTION_WAIT = std::chrono::milliseconds(2500);
/// Between attempts to open a data directory whose disk takes no bytes.
constexpr auto DISK_RETRY_INTERVAL = std::chrono::milliseconds(500);

/// Whether the disk may take the write later: it is full or reports an I/O error. Other errors need
/// an operator.
auto isDiskRefusal(const absl::Status &status) -> bool
{
    return absl::IsResourceExhausted(status) || absl::IsUnknown(status)
           || absl::IsUnavailable(status);
}

auto logDiskChange(const MemberName &member, const DiskStatus &status) -> void
{
    const auto fields = LogFields{
        {"member", member},
        {"age_ms",
         std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(status.age).count())},
        {"error", status.lastError.ok() ? "" : std::string(status.lastError.message())}};
    if (status.blocked)
        logLine(LogLevel::Error, "storage",
                "the disk takes no writes; this member acknowledges nothing until it does", fields);
    else
        logLine(LogLevel::Info, "storage", "the disk takes writes again", fields);
}

auto voterNames(const NodeStatus &status) -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    for (const auto &member : status.members) {
        if (member.voter)
            names.push_back(member.id.name);
    }
    return names;
}

auto toConsensusSettings(const ControlSettings &settings) -> ConsensusSettings
{
    auto result = ConsensusSettings();
    result.self.name = settings.member;
    for (const auto &member : settings.members)
        result.members.push_back(member.name);
    result.admitsNewMembers = settings.membersByIp;
    result.voters = 2 * static_cast<std::size_t>(settings.toleratedLosses) + 1;
    result.heartbeatInterval = settings.heartbeatInterval;
    result.minElectionTimeout = settings.minimumElectionTimeout;
    result.maxElectionTimeout = settings.maximumElectionTimeout;
    result.maxLogBytes = static_cast<std::size_t>(settings.logLimitMebibytes) * 1024 * 1024;
    result.diskStallLimit = settings.diskStallLimit;
    return result;
}

auto toTablesSettings(const ControlSettings &settings) -> ControlTablesSettings
{
    auto result = ControlTablesSettings{.adoptsPrimaries = settings.adoptsPrimaries,
                                        .endpointTimeout = settings.endpointSilenceLimit};
    if (settings.adoptsPrimaries)
        result.failover.initialSettleTime = ADOPTION_WAIT;
    if (!settings.promotionsAddress.empty())
        result.failover.callTimeout = PROMOTION_WAIT;
    return result;
}

} // namespace

ControlNode::ControlNode(const ControlSettings &controlSettings, EndpointRoleHooks roleHooks)
    : settings(controlSettings)
    , endpointHooks(std::move(roleHooks))
    , workers(WORKER_LIMIT, {.refused = refusalLogger("control", NO_ROOM_FOR_THREAD)})
    , diskWorker(1, {.refused = refusalLogger("storage", NO_ROOM_FOR_THREAD)})
    , tables(workers.executor(), makeSecureRandom(), makeTableHooks(), toTablesSettings(settings))
    , transport(ConsensusTransportSettings{.address = settings.consensusAddress},
                ConsensusTransportHooks{.received =
                                            [this](const Message &message) {
                                                this->runner.receive(message);
                                            }})
    , runner(toConsensusSettings(settings), makeRunnerHooks(), workers.executor(),
             diskWorker.executor(), makeSecureRandom())
    , heartbeats(tables)
    , tokens(tables)
    , configurations(tables)
    , evacuations(tables)
    , entries(settings.entriesAddress,
              ControlServerHooks{
                  .heartbeat =
                      [this](const Heartbeat &heartbeat, const HeartbeatService::Done &done) {
                          this->heartbeats.respond(heartbeat, done);
                      },
                  .takeTokens =
                      [this](const TokenRequest &request) {
                          return this->tokens.respond(request);
                      }})
    , operators(settings, tables,
                ControlOperatorsHooks{.nodeStatus =
                                          [this] {
                                              return this->runner.status();
                                          }})
    , metricsServer(settings.metricsAddress,
                    [this] { return this->tables.metrics.toText(this->gauges()); })
    , loadLog(tables)
{
}

ControlNode::~ControlNode()
{
    this->stop();
}

auto ControlNode::initialise(const ControlSettings &settings) -> absl::Status
{
    auto names = std::vector<MemberName>();
    for (const auto &member : settings.members)
        names.push_back(member.name);
    return ConsensusDisk::initialise(settings.dataDirectory, settings.cluster, settings.member,
                                     names);
}

auto ControlNode::makeTableHooks() -> ControlTablesHooks
{
    return ControlTablesHooks{
        .propose = [this](std::string payload) { return this->runner.propose(std::move(payload)); },
        .isLeaderWithQuorum =
            [this](TimePoint /*now*/) { return this->runner.isLeaderWithQuorum(); },
        .leader = [this] { return this->runner.status().leader; },
        .members = [this] { return voterNames(this->runner.status()); },
        .wallClock = systemWallClockMillis,
        .endpointHooks = this->endpointHooks};
}

auto ControlNode::makeRunnerHooks() -> ConsensusRunnerHooks
{
    return ConsensusRunnerHooks{
        .send = [this](Message message) { this->send(std::move(message)); },
        .committed = [this](LogIndex index, Term /*term*/,
                            const std::string &payload) { this->tables.committed(index, payload); },
        .installSnapshot = [this](const std::string &snapshot, LogIndex /*index*/,
                                  Term /*term*/) { this->tables.installed(snapshot); },
        .leadershipChanged =
            [this](bool leads, Term term) {
                this->tables.leadershipChanged(leads, term);
                logLine(LogLevel::Info, "consensus", leads ? "became leader" : "ended leadership",
                        {{"member", this->settings.member}, {"term", std::to_string(term)}});
            },
        .proposalLost = [this](LogIndex index,
                               Term /*term*/) { this->tables.pipeline.lost(index); },
        .makeSnapshot = [this] { return this->tables.store.encodedSnapshot(); },
        .diskChanged =
            [this](const DiskStatus &status) {
                logDiskChange(this->settings.member, status);
            }};
}

auto ControlNode::send(Message message) -> void
{
    if (!this->transport.knows(message.to.name))
        this->addMember(message.to.name);
    this->transport.send(std::move(message));
}

auto ControlNode::addMember(const MemberName &name) -> void
{
    const auto address = this->addressOf(name);
    if (!address)
        return;
    // Without room for its thread, the member is added with the next message to it.
    const auto status = this->transport.addMember(name, *address);
    if (!status.ok()) {
        logLine(LogLevel::Warning, "consensus", "can't send to a member",
                {{"member", name}, {"error", std::string(status.message())}});
    }
}

auto ControlNode::addressOf(const MemberName &name) const -> std::optional<std::string>
{
    for (const auto &member : this->settings.members) {
        if (member.name == name)
            return member.address;
    }
    // A member that joined later is not in the settings, but its name contains its IP address.
    if (this->settings.membersByIp)
        return withPortOf(name, this->settings.consensusAddress);
    return std::nullopt;
}

auto ControlNode::frontEndHooks() -> ControlFrontEndHooks
{
    return ControlFrontEndHooks{
        .leaderAddress = [this] { return this->operators.addressOfOtherLeader(); },
        .replaceConfiguration =
            [this](ReplaceConfiguration configuration) {
                return this->configurations.replace(std::move(configuration));
            },
        .readConfiguration = [this] { return this->configurations.read(); },
        .announce =
            [this](const Announcement &announcement) {
                return this->tables.announce(announcement);
            },
        .setEvacuated = [this](const std::string &zone,
                               bool evacuated) { return this->evacuations.set(zone, evacuated); },
        .ownAddress = this->settings.operatorsAddress};
}

auto ControlNode::setFrontEnd(FrontEnd newFrontEnd) -> void
{
    this->operators.setFrontEnd(std::move(newFrontEnd));
}

auto ControlNode::openDisk() -> absl::StatusOr<ConsensusDisk>
{
    if (this->settings.bootstrap) {
        // An initialised directory belongs to a member that was started before.
        const auto status = initialise(this->settings);
        if (!status.ok() && !absl::IsAlreadyExists(status))
            return status;
    }
    return ConsensusDisk::open(this->settings.dataDirectory, this->settings.cluster,
                               this->settings.member, makeSecureRandom()() | 1U);
}

auto ControlNode::startTransport() -> absl::Status
{
    if (auto status = this->transport.start(); !status.ok())
        return status;
    for (const auto &member : this->settings.members) {
        if (member.name == this->settings.member)
            continue;
        auto status = this->transport.addMember(member.name, member.address);
        if (!status.ok() && !absl::IsResourceExhausted(status))
            return status;
    }
    return absl::OkStatus();
}

auto ControlNode::start() -> absl::Status
{
    if (auto status = this->operators.start(); !status.ok())
        return status;
    if (auto status = this->metricsServer.start(); !status.ok())
        return status;
    if (auto status = this->entries.start(); !status.ok())
        return status;
    if (auto status = this->startTransport(); !status.ok())
        return status;
    if (auto status = this->startRunner(); isDiskRefusal(status))
        this->retryStart(status);
    else if (!status.ok())
        return status;
    this->scheduleTick();
    return absl::OkStatus();
}

auto ControlNode::startRunner() -> absl::Status
{
    auto disk = this->openDisk();
    if (!disk.ok())
        return disk.status();
    return this->runner.start(ConsensusDisk::toStore(*std::move(disk)));
}

auto ControlNode::retryStart(const absl::Status &reason) -> void
{
    logLine(LogLevel::Error, "storage", "can't open the data directory; trying again",
            {{"member", this->settings.member}, {"error", std::string(reason.message())}});
    this->diskWorker.executor().postAfter(DISK_RETRY_INTERVAL, [this] {
        if (const auto status = this->startRunner(); !status.ok())
            this->retryStart(status);
    });
}

auto ControlNode::logMembershipChange(TimePoint now) -> void
{
    if (now < this->nextMembershipCheck)
        return;
    this->nextMembershipCheck = now + MEMBERSHIP_CHECK_INTERVAL;
    const auto status = this->runner.status();
    auto members = std::vector<std::string>();
    for (const auto &member : status.members)
        members.push_back(toString(member.id) + (member.voter ? "" : " (learner)"));
    const auto names = absl::StrJoin(members, " ");
    const auto summary = absl::StrCat(status.term, " ", status.leader, " ",
                                      std::string(nameOf(status.role)), " ", names);
    if (summary == this->loggedMembership)
        return;
    this->loggedMembership = summary;
    logLine(LogLevel::Info, "consensus", "membership or leader changed",
            {{"member", toString(status.self)},
             {"role", std::string(nameOf(status.role))},
             {"leader", status.leader},
             {"term", absl::StrCat(status.term)},
             {"members", names},
             {"commit", absl::StrCat(status.commitIndex)}});
}

auto ControlNode::gauges() -> ControlGauges
{
    const auto status = this->runner.status();
    const auto leading = this->tables.isLeading(this->tables.executor.now());
    return ControlGauges{.leading = leading,
                         .term = status.term,
                         .revision = this->tables.store.revision(),
                         .leases = leading ? this->tables.leases.size() : 0,
                         .members = status.members.size(),
                         .groupsAwaitingEvidence = this->tables.failover.waitingGroups(),
                         .diskBlocked = status.diskBlocked};
}

auto ControlNode::scheduleTick() -> void
{
    this->tables.executor.postAfter(TICK_INTERVAL, [this] {
        this->tables.tick(this->tables.executor.now());
        this->logMembershipChange(this->tables.executor.now());
        this->loadLog.tick(this->tables.executor.now());
        this->scheduleTick();
    });
}

auto ControlNode::stop() -> void
{
    this->tables.heldResponses.close();
    this->entries.stop();
    this->operators.stop();
    this->metricsServer.stop();
    this->transport.stop();
    this->diskWorker.stop();
    this->runner.stop();
    this->workers.stop();
}

} // namespace auburnrail
