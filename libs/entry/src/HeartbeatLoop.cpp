#include <entry/HeartbeatLoop.h>

#include <daemon/Logging.h>
#include <entry/ResponseHold.h>

#include <core/RankedLock.h>
#include <core/StartThread.h>

#include <absl/strings/str_join.h>

#include <algorithm>
#include <cassert>
#include <string>

namespace auburnrail {

namespace {

/// Time-out of a response; leaves time to try another member within the lease.
constexpr auto RESPONSE_TIME_LIMIT = std::chrono::milliseconds(1100);
/// How long a response of a primary shows that it is reachable. Two probes of a small fleet.
constexpr auto EVIDENCE_LIFETIME = std::chrono::milliseconds(1000);
/// The same for a member that did not respond shortly before, which is asked not to hold its
/// response. Several round trips between regions.
constexpr auto SUSPECT_TIME_LIMIT = std::chrono::milliseconds(300);
constexpr auto RETRY_PAUSE = std::chrono::milliseconds(50);
/// Shortest time between two readings of the settings.
constexpr auto REREAD_INTERVAL = std::chrono::seconds(2);

auto namesOf(const std::vector<MemberAddress> &members) -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    for (const auto &member : members)
        names.push_back(member.name);
    return names;
}

} // namespace

HeartbeatLoop::HeartbeatLoop(EntryTables &entryTables,
                             const std::vector<MemberAddress> &controlMembers,
                             HeartbeatLoopHooks loopHooks)
    : tables(entryTables)
    , members(namesOf(controlMembers), loopHooks.learnsMembers)
    , hooks(std::move(loopHooks))
    , burnSender([this](int minutes) {
        return this->tables.burn.contributions(minutes, this->hooks.wallClock());
    })
{
    assert(this->hooks.wallClock && "hooks.wallClock must be set");
    assert(this->hooks.send && "hooks.send must be set");
}

HeartbeatLoop::~HeartbeatLoop()
{
    this->stop();
}

auto HeartbeatLoop::start() -> void
{
    this->thread =
        startRequiredThread([this] { this->run(); }, refusalLogger("lease", NO_ROOM_FOR_THREAD));
}

auto HeartbeatLoop::stop() -> void
{
    {
        const RankedLock lock(this->mutex);
        this->stopping = true;
        this->stopped.notifyAll();
    }
    if (this->thread.joinable())
        this->thread.join();
}

auto HeartbeatLoop::leader() -> std::string
{
    const RankedLock lock(this->mutex);
    return this->lastGrantor;
}

auto HeartbeatLoop::setLeader(const std::string &member) -> void
{
    const RankedLock lock(this->mutex);
    this->lastGrantor = member;
}

auto HeartbeatLoop::pauseUnlessStopped(Duration length) -> bool
{
    const auto end = this->tables.executor.now() + length;
    const RankedLock lock(this->mutex);
    while (!this->stopping && this->tables.executor.now() < end)
        this->stopped.waitUntil(this->mutex, end);
    return !this->stopping;
}

auto HeartbeatLoop::run() -> void
{
    auto pause = Duration();
    while (this->pauseUnlessStopped(pause))
        pause = this->sendHeartbeat() ? Duration() : RETRY_PAUSE;
}

auto HeartbeatLoop::sendHeartbeat() -> bool
{
    const auto report = this->tables.shares.beginReport(this->tables.executor.now());
    const auto ticket = this->tables.lease.beginHeartbeat(this->tables.executor.now());
    const auto member = this->members.current();
    const auto isSuspect = this->members.isSuspect(this->tables.executor.now());
    const auto mayHold = !isSuspect && this->tables.lease.holds(this->tables.executor.now());
    auto heartbeat = this->compose(ticket.revision, mayHold ? RESPONSE_HOLD : Duration());
    heartbeat.shares = report;
    heartbeat.burn = this->burnSender.begin(member, this->tables.executor.now());
    const auto response =
        this->hooks.send(member, heartbeat, isSuspect ? SUSPECT_TIME_LIMIT : RESPONSE_TIME_LIMIT);
    if (!response.ok()) {
        logLine(LogLevel::Warning, "lease", "control member did not respond",
                {{"member", member}, {"error", std::string(response.status().message())}});
        this->logLeaseChange(false, member, std::string(response.status().message()));
        this->burnSender.end(false, this->tables.executor.now());
        this->members.silent(this->tables.executor.now());
        this->rereadMembersIfNeeded();
        return false;
    }
    const auto receivedAt = this->tables.executor.now();
    if (response->peers != nullptr)
        this->tables.setRelayPeers(*response->peers);
    this->tables.setFleetSize({.entries = response->entries, .zoneEntries = response->zoneEntries});
    const auto isGranted = response->lease.status == LeaseStatus::Granted && this->apply(*response)
                           && this->tables.lease.completeHeartbeat(ticket, response->lease,
                                                                   this->tables.executor.now());
    if (isGranted) {
        this->setLeader(member);
        this->tables.leaseGate.granted();
        if (response->stamp)
            this->tables.acknowledged.stampReceived(*response->stamp, receivedAt);
        // The ledger counts shares from the arrival of the report, however long the response to it
        // was held, while the lease runs from the release of the response.
        std::ignore =
            this->tables.shares.adopt(response->shares, ticket.sentAt + QuotaTiming().leaseDuration,
                                      this->tables.executor.now());
    }
    this->burnSender.end(isGranted, this->tables.executor.now());
    this->logLeaseChange(isGranted, member, std::string(nameOf(response->lease.status)));
    if (isGranted) {
        this->members.granted(response->members);
        return true;
    }
    this->members.refused(response->leader, response->members, this->tables.executor.now());
    this->rereadMembersIfNeeded();
    return false;
}

auto HeartbeatLoop::rereadMembersIfNeeded() -> void
{
    const auto now = this->tables.executor.now();
    if (!this->hooks.rereadMembers || !this->members.hasTriedAll() || now < this->nextReread)
        return;
    this->nextReread = now + REREAD_INTERVAL;
    const auto names = this->hooks.rereadMembers();
    logLine(LogLevel::Warning, "lease", "no known control member grants a lease; settings read",
            {{"members", absl::StrJoin(names, " ")}});
    this->members.add(names);
}

auto HeartbeatLoop::logLeaseChange(bool renewed, const std::string &member,
                                   const std::string &outcome) -> void
{
    const auto holds = renewed || this->tables.lease.holds(this->tables.executor.now());
    if (holds == this->heldLease)
        return;
    this->heldLease = holds;
    logLine(holds ? LogLevel::Info : LogLevel::Warning, "lease",
            holds ? "lease granted" : "lease lost",
            {{"member", member},
             {"outcome", outcome},
             {"revision", std::to_string(this->tables.lease.revision())}});
}

auto HeartbeatLoop::compose(Revision revision, Duration holdLimit) -> Heartbeat
{
    const auto state = this->tables.state.snapshot();
    auto heartbeat = Heartbeat();
    heartbeat.instance = this->tables.identity.instance;
    heartbeat.incarnation = this->tables.identity.incarnation;
    heartbeat.zone = this->tables.identity.zone;
    heartbeat.operatorsAddress = this->tables.identity.operatorsAddress;
    heartbeat.relayAddress = this->tables.identity.relayAddress;
    heartbeat.peersFingerprint = this->tables.relayPeers.fingerprint();
    heartbeat.appliedRevision = revision;
    heartbeat.endpoints = this->tables.announced.differences(*state, this->tables.executor.now());
    heartbeat.primaries = this->primaryReports(*state);
    heartbeat.acknowledged = this->tables.acknowledged.finalReports(this->tables.executor.now());
    heartbeat.holdLimit = holdLimit;
    return heartbeat;
}

auto HeartbeatLoop::primaryReports(const FleetObjects &state) -> std::vector<PrimaryReport>
{
    const auto now = this->tables.executor.now();
    const auto suspicions = this->tables.endpoints.suspicions();
    auto reports = std::vector<PrimaryReport>();
    state.table<Group>().forEach([&](const Group &group) {
        if (group.phase != GroupPhase::Serving || group.primary.empty())
            return;
        auto report = PrimaryReport{.group = group.name, .term = group.term, .unreachableFor = {}};
        const auto suspicion =
            std::find_if(suspicions.begin(), suspicions.end(), [&](const Suspicion &candidate) {
                return candidate.group == group.name && candidate.term == group.term;
            });
        if (suspicion != suspicions.end())
            report.unreachableFor = now - suspicion->since;
        else if (!this->hasRecentResponse(group.primary, now))
            return; // Neither reachable nor suspected.
        reports.push_back(std::move(report));
    });
    return reports;
}

auto HeartbeatLoop::hasRecentResponse(const std::string &endpoint, TimePoint now) -> bool
{
    const auto view = this->tables.endpoints.find(endpoint, now);
    return view && view->lastSeen && now - *view->lastSeen <= EVIDENCE_LIFETIME;
}

auto HeartbeatLoop::apply(const HeartbeatAnswer &response) -> bool
{
    if (!response.update && !response.snapshot)
        return true;
    const auto status = response.snapshot ? this->tables.state.replace(*response.snapshot)
                                          : this->tables.state.applyChanges(*response.update);
    if (!status.ok())
        return false;
    // The tables must reflect the state before its revision is reported.
    this->tables.stateChanged();
    this->tables.lease.setRevision(this->tables.state.revision());
    return true;
}

} // namespace auburnrail
