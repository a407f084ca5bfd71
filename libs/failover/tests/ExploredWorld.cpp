#include "ExploredWorld.h"

#include <lease/LeaseTiming.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace auburnrail::testing {

namespace {

using namespace std::chrono_literals;

constexpr auto STEP = Duration(10ms);
constexpr auto STEPS_PER_HEARTBEAT = 10U;
constexpr auto STEPS_PER_WRITE = 4U;
constexpr auto SETTLE_TIME = Duration(15s);
constexpr auto UNNOTICED_TIME = Duration(500ms);
/// Percentage of the messages that take up to LATE_DELAY_MS instead of DELAY_MS.
constexpr auto LATE_PERCENT = 3U;
constexpr auto DELAY_MS = std::uint64_t(30);
constexpr auto LATE_DELAY_MS = std::uint64_t(2500);
constexpr auto MAX_SERVERS = std::size_t(6);
constexpr auto WRITES_PER_PULL = std::size_t(20);

} // namespace

ExploredWorld::ExploredWorld(ExploredProtocol worldProtocol, std::size_t serverCount,
                             std::uint32_t synchronousReplicas, std::uint64_t seed, bool keepsNotes)
    : protocol(worldProtocol)
    , keepsTimeline(keepsNotes)
    , random(makeSeededRandom(seed))
    , platform(this->scheduler.executor(), this->servers, "s0", seed % 2 == 0,
               {.promotes = [this](const ExploredServer &server, std::uint64_t token) {
                   this->checkPromoted(server, token);
               }})
{
    this->view = FailoverGroup{
        .name = GROUP, .term = 1, .primary = "s0", .synchronousReplicas = synchronousReplicas};
    for (auto number = std::size_t(0); number < serverCount; ++number) {
        const auto name = absl::StrCat("s", number);
        this->servers.push_back({.name = name, .isPrimary = number == 0, .follows = "s0"});
        this->view.endpoints.push_back({name, name});
    }
    for (const auto *name : {"e0", "e1", "e2"})
        this->entries.push_back({.name = name});
    this->changeLeader(Duration::zero());
    this->runPeriodicTasks();
    this->scheduler.runFor(500ms);
}

auto ExploredWorld::run(const ExploredEvent &event) -> void
{
    auto &target = this->serverAt(event.target % this->servers.size());
    auto &entry = this->entries[event.target % this->entries.size()];
    this->note(
        absl::StrCat(std::string(nameOf(event.kind)), " ", event.target, ", server ", target.name));
    switch (event.kind) {
    case ExploredEventKind::CutFromControl:
        target.reachesControl = false;
        break;
    case ExploredEventKind::CutFromEntries:
        target.reachesEntries = false;
        break;
    case ExploredEventKind::CutFromServers:
        target.reachesServers = false;
        break;
    case ExploredEventKind::RefuseOrders:
        target.refusesOrders = true;
        break;
    case ExploredEventKind::Freeze:
        target.isFrozen = true;
        break;
    case ExploredEventKind::Crash:
        target.isDown = true;
        target.waiting.clear();
        target.heldMessages.clear();
        break;
    case ExploredEventKind::Repair:
        this->repair(target);
        break;
    case ExploredEventKind::CutEntry:
        entry.reachesControl = false;
        break;
    case ExploredEventKind::RepairEntry:
        entry.reachesControl = true;
        break;
    case ExploredEventKind::ChangeLeader:
        this->changeLeader(Duration::zero());
        break;
    case ExploredEventKind::ChangeLeaderUnnoticed:
        this->changeLeader(UNNOTICED_TIME);
        break;
    case ExploredEventKind::PromotePlanned:
        // Refused for a server that control doesn't know, and while a failover is in progress.
        std::ignore =
            this->coordinators.back().promotePlanned(GROUP, target.name, this->scheduler.now());
        break;
    case ExploredEventKind::AddServer:
        this->addServer();
        break;
    case ExploredEventKind::RegisterServer:
        this->registerServers();
        break;
    case ExploredEventKind::Restart:
        this->restart(target);
        break;
    case ExploredEventKind::RemoveServer:
        this->removeServer(target);
        break;
    case ExploredEventKind::DelayOrders:
        this->areOrdersDelayed = true;
        break;
    case ExploredEventKind::DelayPromotions:
        this->arePromotionsDelayed = true;
        break;
    case ExploredEventKind::EndDelays:
        this->areOrdersDelayed = false;
        this->arePromotionsDelayed = false;
        break;
    }
    this->scheduler.runFor(event.pause);
}

auto ExploredWorld::settle() -> void
{
    for (auto &server : this->servers)
        this->repair(server);
    for (auto &entry : this->entries)
        entry.reachesControl = true;
    this->areOrdersDelayed = false;
    this->arePromotionsDelayed = false;
    this->registerServers();
    this->scheduler.runFor(SETTLE_TIME);
    const auto before = this->acknowledged.size();
    this->scheduler.runFor(1s);
    if (this->view.phase != GroupPhase::Serving)
        return this->violated("the group has a primary again once all faults have ended");
    if (this->acknowledged.size() == before)
        this->violated("writes are acknowledged again once all faults have ended");
    const auto &primary = *this->server(this->view.primary);
    for (const auto &server : this->servers) {
        if (server.name != primary.name && !server.isRemoved
            && (server.isPrimary || server.isPaused || server.follows != primary.name))
            this->violated("server " + server.name + " follows the primary again");
    }
    for (const auto &[id, write] : this->acknowledged) {
        if (!primary.holds(id) && !this->unprotected.contains(id))
            this->lost(write, "at the primary in the end");
    }
}

auto ExploredWorld::addServer() -> void
{
    const auto name = absl::StrCat("s", this->servers.size());
    const auto primary = std::find_if(this->servers.begin(), this->servers.end(),
                                      [](const auto &server) { return server.isPrimary; });
    // One at a time, so that the world stays small.
    const auto isOneNew = std::any_of(this->servers.begin(), this->servers.end(),
                                      [](const auto &server) { return !server.isRegistered; });
    if (isOneNew || primary == this->servers.end() || this->servers.size() >= MAX_SERVERS)
        return;
    this->servers.push_back({.name = name,
                             .term = primary->term,
                             .log = primary->log,
                             .follows = primary->name,
                             .isRegistered = false});
}

auto ExploredWorld::registerServers() -> void
{
    for (auto &server : this->servers) {
        if (std::exchange(server.isRegistered, true))
            continue;
        this->view.endpoints.push_back({server.name, server.name});
        this->coordinators.back().groupChanged(this->view, this->scheduler.now());
    }
}

auto ExploredWorld::repair(ExploredServer &server) -> void
{
    if (server.isRemoved)
        return;
    server.reachesControl = true;
    server.reachesEntries = true;
    server.reachesServers = true;
    server.refusesOrders = false;
    if (server.isDown && this->protocol == ExploredProtocol::Platform)
        this->restart(server);
    server.isDown = false;
    server.isFrozen = false;
    for (const auto &message : std::exchange(server.heldMessages, {}))
        message();
}

auto ExploredWorld::runPeriodicTasks() -> void
{
    ++this->steps;
    this->expireLeases();
    for (auto index = std::size_t(0); index < this->servers.size(); ++index) {
        // Replicas differ in lag, so that the most advanced one matters.
        if (this->steps % (index * index + 1) == 0)
            this->replicate(this->servers[index]);
    }
    for (auto index = std::size_t(0); index < this->entries.size(); ++index) {
        if ((this->steps + index) % STEPS_PER_WRITE == 0)
            this->writeFrom(index);
        if ((this->steps + index) % STEPS_PER_HEARTBEAT == 0)
            this->heartbeat(this->entries[index]);
    }
    // The platform's servers announce no term.
    if (this->steps % STEPS_PER_HEARTBEAT == 0 && this->protocol == ExploredProtocol::Endpoint) {
        for (const auto &server : this->servers) {
            if (server.isUp() && server.reachesControl && server.isRegistered)
                this->coordinators.back().endpointSeen(GROUP, server.name, server.term);
        }
    }
    for (auto leader = std::size_t(0); leader < this->coordinators.size(); ++leader) {
        if (!this->ended.contains(leader))
            this->coordinators[leader].tick(this->scheduler.now());
    }
    this->scheduler.executor().postAfter(STEP, [this] { this->runPeriodicTasks(); });
}

auto ExploredWorld::replicate(ExploredServer &replica) -> void
{
    auto *primary = this->server(replica.follows);
    if (replica.isPrimary || replica.isPaused || !replica.isUp() || !replica.reachesServers
        || primary == nullptr || primary == &replica || !primary->isPrimary || !primary->isUp()
        || !primary->reachesServers)
        return;
    primary->confirmed[replica.name] = replica.receiveFrom(*primary, WRITES_PER_PULL);
    this->completeWrites(*primary);
}

auto ExploredWorld::completeWrites(ExploredServer &primary) -> void
{
    std::erase_if(primary.waiting, [&](const auto &row) {
        const auto holders =
            std::count_if(primary.confirmed.begin(), primary.confirmed.end(),
                          [&](const auto &confirmed) { return confirmed.second >= row.first; });
        const auto isComplete = holders >= this->view.synchronousReplicas;
        if (isComplete)
            row.second();
        return isComplete;
    });
}

auto ExploredWorld::later(Task task) -> void
{
    const auto longest = this->chance(LATE_PERCENT) ? LATE_DELAY_MS : DELAY_MS;
    this->scheduler.executor().postAfter(std::chrono::milliseconds(1 + this->random() % longest),
                                         std::move(task));
}

auto ExploredWorld::chance(unsigned percent) -> bool
{
    return this->random() % 100 < percent;
}

auto ExploredWorld::serverAt(std::size_t rank) -> ExploredServer &
{
    auto byRank = std::vector<ExploredServer *>();
    for (auto &server : this->servers)
        byRank.push_back(&server);
    std::stable_sort(byRank.begin(), byRank.end(), [](const auto *left, const auto *right) {
        return std::pair(left->isPrimary, left->position())
               > std::pair(right->isPrimary, right->position());
    });
    return *byRank[rank];
}

auto ExploredWorld::server(const std::string &name) -> ExploredServer *
{
    const auto found = std::find_if(this->servers.begin(), this->servers.end(),
                                    [&](const auto &server) { return server.name == name; });
    return found == this->servers.end() ? nullptr : &*found;
}

auto ExploredWorld::note(const std::string &text) -> void
{
    if (this->keepsTimeline)
        this->timeline.push_back(this->time() + text);
}

auto ExploredWorld::time() const -> std::string
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->scheduler.now().time_since_epoch());
    return absl::StrCat(now.count(), " ms: ");
}

auto ExploredWorld::violated(const std::string &rule) -> void
{
    this->violations.push_back(this->time() + rule);
    this->note(absl::StrCat("broken: ", rule));
}

auto ExploredWorld::lost(const ExploredWrite &write, const std::string &where) -> void
{
    const auto what = absl::StrCat("the acknowledged write ", write.id, " of term ", write.term,
                                   " is missing ", where);
    this->losses.push_back(this->time() + what);
    this->note("lost: " + what);
}

} // namespace auburnrail::testing
