#include "SimulatedCluster.h"

#include <algorithm>
#include <stdexcept>

namespace auburnrail::testing {

namespace {

constexpr auto STEP = std::chrono::milliseconds(5);
constexpr auto TICK = std::chrono::milliseconds(20);

auto payloadBytes(const Message &message) -> std::size_t
{
    auto bytes = std::size_t(0);
    if (const auto *append = std::get_if<AppendRequest>(&message.body)) {
        for (const auto &entry : append->entries)
            bytes += entry.payload.size();
    }
    if (const auto *snapshot = std::get_if<SnapshotRequest>(&message.body))
        bytes += snapshot->chunk.size();
    return bytes;
}

auto require(bool condition, const std::string &rule) -> void
{
    if (!condition)
        throw std::logic_error(rule);
}

} // namespace

SimulatedCluster::SimulatedCluster(std::size_t count, std::uint64_t seed,
                                   ConsensusSettings settings)
    : limits(std::move(settings))
    , random(makeSeededRandom(seed))
{
    auto all = std::vector<MemberName>();
    for (auto number = std::size_t(1); number <= count; ++number)
        all.push_back("m" + std::to_string(number));
    this->limits.members = all;
    for (const auto &name : all) {
        auto &target = this->members[name];
        target.id = MemberId{name, 0};
        target.disk = ConsensusNode::bootstrap(all);
        this->start(target);
    }
}

auto SimulatedCluster::start(SimulatedMember &target) -> void
{
    auto settings = this->limits;
    settings.self = target.id;
    target.state = target.disk.snapshot.content;
    target.deliveredIndex = target.disk.snapshot.index;
    target.snapshotDue.reset();
    target.announcedLeader = false;
    target.node = std::make_unique<ConsensusNode>(
        settings,
        ConsensusHooks{
            .persist =
                [this, &target](PersistBatch batch) {
                    require(!target.batch, "one batch may be under way at a time");
                    target.batch = std::move(batch);
                    target.batchBegan = this->now;
                },
            .send = [this](const Message &message) { this->send(message); },
            .committed =
                [this, &target](LogIndex index, Term, const std::string &payload) {
                    this->recordCommitted(target, index, payload);
                },
            .installSnapshot =
                [&target](const std::string &content, LogIndex index, Term) {
                    require(index > target.deliveredIndex,
                            "an installed snapshot must be later than the delivered entries");
                    target.state = content;
                    target.deliveredIndex = index;
                    ++target.installedSnapshots;
                },
            .leadershipChanged = [&target](bool leads, Term) { target.announcedLeader = leads; },
            .proposalLost = [&target](LogIndex index,
                                      Term) { target.lostProposals.push_back(index); },
            .snapshotDue = [&target](LogIndex index) { target.snapshotDue = index; },
            .randomTimeout =
                [this] {
                    return std::chrono::milliseconds(500)
                           + std::chrono::milliseconds(this->random() % 500);
                },
        },
        target.disk, this->now);
}

auto SimulatedCluster::recordCommitted(SimulatedMember &target, LogIndex index,
                                       const std::string &payload) -> void
{
    require(index > target.deliveredIndex, "entries must be delivered once and in order");
    const auto [row, added] = this->committed.emplace(index, payload);
    require(row->second == payload, "committed entries must not differ between members");
    target.deliveredIndex = index;
    target.state += payload;
}

auto SimulatedCluster::chance(unsigned percent) -> bool
{
    return this->random() % 100 < percent;
}

auto SimulatedCluster::send(const Message &message) -> void
{
    if (this->onSend)
        this->onSend(message);
    const auto copies = 1 + (this->chance(this->faults.duplicatePercent) ? 1 : 0);
    for (auto copy = 0; copy < copies; ++copy) {
        if (this->chance(this->faults.lossPercent))
            continue;
        const auto spread = (this->faults.maxDelay - this->faults.minDelay).count() + 1;
        const auto delay = this->faults.minDelay
                           + Duration(static_cast<std::int64_t>(
                               this->random() % static_cast<std::uint64_t>(spread)));
        this->network.emplace(this->passRoute(message) + delay, message);
    }
}

auto SimulatedCluster::passRoute(const Message &message) -> TimePoint
{
    if (this->faults.bytesPerSecond == 0)
        return this->now;
    auto &freeAt = this->routeFreeAt[{message.from.name, message.to.name}];
    freeAt = std::max(freeAt, this->now)
             + std::chrono::nanoseconds(std::chrono::seconds(1)) * payloadBytes(message)
                   / this->faults.bytesPerSecond;
    return freeAt;
}

auto SimulatedCluster::step() -> void
{
    this->now += STEP;
    while (!this->network.empty() && this->network.begin()->first <= this->now) {
        const auto message = this->network.begin()->second;
        this->network.erase(this->network.begin());
        auto &target = this->members.at(message.to.name);
        if (target.node && !this->blockedRoutes.contains({message.from.name, message.to.name}))
            target.receive(message, this->now);
    }
    for (auto &[name, target] : this->members) {
        if (target.node && this->now.time_since_epoch() % TICK == Duration::zero())
            target.node->tick(this->now);
        if (target.node && target.snapshotDue) {
            target.snapshotDue.reset();
            target.node->storeSnapshot(target.deliveredIndex, target.state, this->now);
        }
        target.runDisk(this->now);
    }
    this->checkLeaders();
}

auto SimulatedCluster::checkLeaders() -> void
{
    auto leases = 0;
    for (const auto &[name, target] : this->members) {
        if (!target.node)
            continue;
        leases += target.node->isLeaderWithQuorum(this->now) ? 1 : 0;
        if (target.node->role() == NodeRole::Leader) {
            const auto [row, added] = this->leaders.emplace(target.node->term(), target.id);
            require(row->second == target.id, "a term must not have two leaders");
            auto changes = 0;
            const auto &log = target.node->entries();
            for (auto index = target.node->commitIndex() + 1; index <= log.lastIndex(); ++index)
                changes += log.at(index).kind == EntryKind::Configuration ? 1 : 0;
            // Before it commits an entry of its own term, a leader does not know which
            // configuration changes earlier leaders committed.
            const auto knowsCommits = log.termAt(target.node->commitIndex()) == target.node->term();
            require(changes <= 1 || !knowsCommits,
                    "at most one configuration change may be uncommitted");
        }
    }
    require(leases <= 1, "at most one member may hold the quorum lease");
}

auto SimulatedCluster::checkLogMatching() const -> void
{
    for (const auto &[leftName, left] : this->members) {
        for (const auto &[rightName, right] : this->members) {
            if (!left.node || !right.node || leftName >= rightName)
                continue;
            const auto &leftLog = left.node->entries();
            const auto &rightLog = right.node->entries();
            auto equal = false;
            for (auto index = std::min(leftLog.lastIndex(), rightLog.lastIndex());
                 index >= std::max(leftLog.firstIndex(), rightLog.firstIndex()); --index) {
                equal = equal || leftLog.termAt(index) == rightLog.termAt(index);
                require(!equal || leftLog.at(index) == rightLog.at(index), "logs must match");
            }
        }
    }
}

auto SimulatedCluster::run(Duration length) -> void
{
    const auto end = this->now + length;
    while (this->now < end)
        this->step();
}

auto SimulatedCluster::runUntil(const std::function<auto()->bool> &done, Duration limit) -> bool
{
    const auto end = this->now + limit;
    while (!done() && this->now < end)
        this->step();
    return done();
}

auto SimulatedCluster::crash(const MemberName &name) -> void
{
    auto &target = this->members.at(name);
    target.crash(target.batch ? this->random() % 10 : 0);
}

auto SimulatedCluster::restart(const MemberName &name) -> void
{
    auto &target = this->members.at(name);
    if (!target.node)
        this->start(target);
}

auto SimulatedCluster::loseDisk(const MemberName &name) -> void
{
    auto &target = this->members.at(name);
    target.crash(0);
    target.disk = DurableState();
    target.id.incarnation = this->random();
    this->start(target);
}

auto SimulatedCluster::addMember(const MemberName &name) -> void
{
    auto &target = this->members[name];
    target.id = MemberId{name, this->random() | 1U};
    this->start(target);
}

auto SimulatedCluster::blockOneWay(const MemberName &from, const MemberName &to) -> void
{
    this->blockedRoutes.emplace(from, to);
}

auto SimulatedCluster::isolate(const MemberName &name) -> void
{
    for (const auto &other : this->names()) {
        this->blockOneWay(name, other);
        this->blockOneWay(other, name);
    }
}

auto SimulatedCluster::heal() -> void
{
    this->blockedRoutes.clear();
}

auto SimulatedCluster::leader() const -> MemberName
{
    for (const auto &[name, target] : this->members) {
        if (target.node && target.node->isLeaderWithQuorum(this->now))
            return name;
    }
    return {};
}

auto SimulatedCluster::propose(const std::string &payload) -> bool
{
    const auto name = this->leader();
    if (name.empty() || !this->members.at(name).node->propose(payload, this->now).ok())
        return false;
    this->members.at(name).runDisk(this->now);
    return true;
}

auto SimulatedCluster::awaitLeader() -> MemberName
{
    require(this->runUntil([this] { return !this->leader().empty(); }, std::chrono::seconds(10)),
            "a leader must be elected within 10 s");
    return this->leader();
}

auto SimulatedCluster::allIncarnationsAreVoters() const -> bool
{
    const auto name = this->leader();
    if (name.empty())
        return false;
    const auto &node = *this->members.at(name).node;
    const auto &log = node.entries();
    return log.configurationIndex() <= node.commitIndex()
           && std::all_of(this->members.begin(), this->members.end(), [&](const auto &row) {
                  return log.configuration().contains(row.second.id);
              });
}

auto SimulatedCluster::converged() const -> bool
{
    const auto last = this->committed.empty() ? 0 : this->committed.rbegin()->first;
    return std::all_of(this->members.begin(), this->members.end(), [&](const auto &row) {
        return !row.second.node || row.second.deliveredIndex >= last;
    });
}

auto SimulatedCluster::names() const -> std::vector<MemberName>
{
    return this->limits.members;
}

auto SimulatedCluster::member(const MemberName &name) -> SimulatedMember &
{
    return this->members.at(name);
}

} // namespace auburnrail::testing
