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

ExploredWorld::ExploredWorld(std::size_t serverCount, std::uint32_t synchronousReplicas,
                             std::uint64_t seed, bool keepsNotes)
    : keepsTimeline(keepsNotes)
    , random(makeSeededRandom(seed))
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
    }
    this->scheduler.runFor(event.pause);
}

auto ExploredWorld::settle() -> void
{
    for (auto &server : this->servers)
        this->repair(server);
    for (auto &entry : this->entries)
        entry.reachesControl = true;
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
        if (server.name != primary.name
            && (server.isPrimary || server.isPaused || server.follows != primary.name))
            this->violated("server " + server.name + " follows the primary again");
    }
    for (const auto &[id, write] : this->acknowledged) {
        if (!primary.holds(id) && !this->unprotected.contains(id)) {
            this->violated(
                absl::StrCat("the acknowledged write ", id, " of term ", write.term, " is kept"));
        }
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
    server.reachesControl = true;
    server.reachesEntries = true;
    server.reachesServers = true;
    server.refusesOrders = false;
    server.isDown = false;
    server.isFrozen = false;
    for (const auto &message : std::exchange(server.heldMessages, {}))
        message();
}

auto ExploredWorld::runPeriodicTasks() -> void
{
    ++this->steps;
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
    if (this->steps % STEPS_PER_HEARTBEAT == 0) {
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

auto ExploredWorld::heartbeat(Entry &entry) -> void
{
    if (!entry.reachesControl)
        return;
    const auto now = this->scheduler.now();
    entry.view = this->view;
    entry.leaseEnd = now + LEASE_DURATION;
    const auto *primary = this->server(entry.view.primary);
    if (primary->isUp() && primary->reachesEntries)
        entry.healthyAt = now;
    const auto unreachableFor =
        now == entry.healthyAt ? std::nullopt : std::optional<Duration>(now - entry.healthyAt);
    this->coordinators.back().reportSuspicion(entry.name, GROUP, entry.view.term, unreachableFor,
                                              now);
}

auto ExploredWorld::writeFrom(std::size_t index) -> void
{
    const auto &entry = this->entries[index];
    const auto sentAt = this->scheduler.now();
    if (sentAt >= entry.leaseEnd || entry.view.phase != GroupPhase::Serving)
        return;
    const auto handle = [this, index, name = entry.view.primary, viewTerm = entry.view.term, sentAt,
                         id = ++this->lastWrite] {
        auto &primary = *this->server(name);
        if (!primary.isPrimary || !primary.isUp() || !primary.reachesEntries)
            return;
        const auto write = ExploredWrite{primary.term, id};
        primary.log.push_back(write);
        const auto complete = [this, index, viewTerm, write, sentAt, name] {
            const auto completedAt = this->scheduler.now();
            this->later([this, index, viewTerm, write, sentAt, completedAt, name] {
                if (this->server(name)->reachesEntries)
                    this->acknowledge(index, viewTerm, write, sentAt, completedAt);
            });
        };
        primary.waiting.emplace_back(primary.log.size(), complete);
    };
    this->later(handle);
}

auto ExploredWorld::acknowledge(std::size_t index, std::uint64_t viewTerm, ExploredWrite write,
                                TimePoint sentAt, TimePoint completedAt) -> void
{
    const auto &entry = this->entries[index];
    const auto now = this->scheduler.now();
    const auto isCovered = now < entry.leaseEnd && entry.view.term == viewTerm;
    if (!isCovered && now - sentAt > ACKNOWLEDGEMENT_GRACE)
        return;
    this->acknowledged.emplace(write.id, write);
    auto &period =
        this->periods.emplace(write.term, Period{completedAt, completedAt}).first->second;
    period.first = std::min(period.first, completedAt);
    period.last = std::max(period.last, completedAt);
    for (const auto &[term, other] : this->periods) {
        if ((term < write.term && other.last > completedAt)
            || (term > write.term && other.first < completedAt))
            this->violated("one primary completes acknowledged writes at a time");
    }
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

} // namespace auburnrail::testing
