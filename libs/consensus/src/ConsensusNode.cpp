#include <consensus/ConsensusNode.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnrail {

namespace {

constexpr auto MAX_UNCOMMITTED_ENTRIES = LogIndex(4096);
/// While the disk is blocked, older messages are dropped first: their receivers ask again.
constexpr auto MAX_HELD_MESSAGES = std::size_t(256);

} // namespace

ConsensusNode::ConsensusNode(ConsensusSettings nodeSettings, ConsensusHooks nodeHooks,
                             DurableState restored, TimePoint now)
    : settings(std::move(nodeSettings))
    , hooks(std::move(nodeHooks))
    , election(std::move(restored.election))
    , log(std::move(restored.snapshot), restored.firstIndex, std::move(restored.entries))
    , committed(log.snapshot().index)
    , deliveredIndex(log.snapshot().index)
    , lastLeaderContact(now)
    , writes(log.lastIndex())
{
    assert(this->hooks.persist && this->hooks.send && this->hooks.committed
           && this->hooks.installSnapshot && this->hooks.leadershipChanged
           && this->hooks.proposalLost && this->hooks.snapshotDue && this->hooks.randomTimeout
           && "all hooks must be set");
    this->restartElectionTimer(now);
}

auto ConsensusNode::bootstrap(const std::vector<MemberName> &names) -> DurableState
{
    auto state = DurableState();
    for (const auto &name : names)
        state.snapshot.configuration.voters.insert(MemberId{name, 0});
    return state;
}

auto ConsensusNode::tick(TimePoint now) -> void
{
    if (this->isDiskBlocked(now))
        this->lastBlockedAt = now;
    if (this->currentRole == NodeRole::Leader)
        this->tickLeader(now);
    else if (now >= this->electionDeadline)
        this->campaign(now);
    this->applyEffects(now);
}

auto ConsensusNode::receive(const Message &message, TimePoint now) -> void
{
    const auto known = this->settings.admitsNewMembers
                       || std::find(this->settings.members.begin(), this->settings.members.end(),
                                    message.from.name)
                              != this->settings.members.end();
    if (!known || message.from.name == this->settings.self.name
        || message.to.name != this->settings.self.name)
        return;
    const auto forThisIncarnation = message.to == this->settings.self;
    // The leader replicates to an earlier incarnation of this member: announce the current one.
    if (!forThisIncarnation
        && (std::holds_alternative<AppendRequest>(message.body)
            || std::holds_alternative<SnapshotRequest>(message.body)))
        this->sendTo(message.from, this->election.term, JoinRequest());
    // The sender of a join request does not know the receiver's incarnation.
    if (forThisIncarnation || std::holds_alternative<JoinRequest>(message.body)) {
        std::visit([&](const auto &body) { this->handle(message, body, now); }, message.body);
    }
    this->applyEffects(now);
}

auto ConsensusNode::propose(std::string payload, TimePoint now) -> absl::StatusOr<LogIndex>
{
    if (this->currentRole != NodeRole::Leader)
        return absl::UnavailableError("this member is not the leader");
    if (payload.size() > this->settings.maxPayloadBytes)
        return absl::InvalidArgumentError("the payload is too large");
    if (this->log.lastIndex() - this->committed >= MAX_UNCOMMITTED_ENTRIES)
        return absl::ResourceExhaustedError("too many entries are not committed");
    const auto index = this->appendEntry(
        {.term = this->election.term, .kind = EntryKind::Command, .payload = std::move(payload)});
    this->replicateToAll(now);
    this->proposals.insert(index);
    this->applyEffects(now);
    return index;
}

auto ConsensusNode::storeSnapshot(LogIndex index, std::string content, TimePoint now) -> void
{
    this->snapshotRequested = false;
    if (index <= this->log.snapshot().index)
        return;
    assert(index <= this->deliveredIndex && "the entry must have been delivered");
    auto snapshot = Snapshot{index, *this->log.termAt(index), this->log.configurationAt(index),
                             std::move(content)};
    const auto keepFrom =
        this->log.firstWithin(index, this->settings.entriesKept, this->settings.maxLogBytes / 2);
    this->deliveredBytes = 0;
    this->log.replaceSnapshot(snapshot, keepFrom);
    this->writes.snapshotReplaced(snapshot, keepFrom, this->log.lastIndex(), this->log);
    this->applyEffects(now);
}

auto ConsensusNode::persisted(TimePoint now) -> void
{
    if (this->isDiskBlocked(now))
        this->lastBlockedAt = now;
    this->writes.completeWrite();
    while (!this->heldMessages.empty()
           && this->writes.isDurable(this->heldMessages.front().batch)) {
        this->outbox.push_back(std::move(this->heldMessages.front().message));
        this->heldMessages.pop_front();
    }
    if (this->currentRole == NodeRole::Candidate && this->writes.isElectionDurable()) {
        this->votes.insert(this->settings.self);
        this->countVotes(now);
    }
    this->applyEffects(now);
}

auto ConsensusNode::writeRefused(TimePoint now) -> void
{
    this->writes.refuseWrite();
    this->lastBlockedAt = now;
}

auto ConsensusNode::isDiskBlocked(TimePoint now) const -> bool
{
    return this->writes.isBlocked(this->settings.diskStallLimit, now);
}

auto ConsensusNode::writeAge(TimePoint now) const -> Duration
{
    return this->writes.age(now);
}

auto ConsensusNode::role() const -> NodeRole
{
    if (this->currentRole == NodeRole::Follower
        && !this->log.configuration().contains(this->settings.self))
        return NodeRole::Learner;
    return this->currentRole;
}

auto ConsensusNode::term() const -> Term
{
    return this->election.term;
}

auto ConsensusNode::leader() const -> MemberName
{
    return this->knownLeader ? this->knownLeader->name : MemberName();
}

auto ConsensusNode::commitIndex() const -> LogIndex
{
    return this->committed;
}

auto ConsensusNode::entries() const -> const detail::ReplicatedLog &
{
    return this->log;
}

auto ConsensusNode::status(TimePoint now) const -> NodeStatus
{
    auto result = NodeStatus{.self = this->settings.self,
                             .role = this->role(),
                             .term = this->election.term,
                             .leader = this->leader(),
                             .commitIndex = this->committed,
                             .lastIndex = this->log.lastIndex(),
                             .snapshotIndex = this->log.snapshot().index,
                             .durableIndex = this->writes.durableIndex(),
                             .diskBlocked = this->isDiskBlocked(now),
                             .members = {}};
    if (this->currentRole != NodeRole::Leader) {
        for (const auto &voter : this->log.configuration().voters)
            result.members.push_back({voter, true, 0, std::nullopt});
        return result;
    }
    result.members.push_back({this->settings.self, true, this->writes.durableIndex(), Duration(0)});
    for (const auto &[id, progress] : this->progressTable.rows()) {
        auto age = std::optional<Duration>();
        if (progress.lastRespondedSentAt)
            age = now - *progress.lastRespondedSentAt;
        result.members.push_back({id, progress.voter, progress.matchIndex, age});
    }
    return result;
}

auto ConsensusNode::appendEntry(LogEntry entry) -> LogIndex
{
    const auto index = this->log.append(std::move(entry));
    this->writes.entryAppended(index);
    return index;
}

auto ConsensusNode::sendTo(const MemberId &member, Term messageTerm, MessageBody body) -> void
{
    this->outbox.push_back({this->settings.self, member, messageTerm, std::move(body)});
}

auto ConsensusNode::sendWhenDurable(const MemberId &member, Term messageTerm, MessageBody body)
    -> void
{
    const auto batch = this->writes.currentBatch();
    if (this->writes.isDurable(batch)) {
        this->sendTo(member, messageTerm, std::move(body));
        return;
    }
    if (this->heldMessages.size() == MAX_HELD_MESSAGES)
        this->heldMessages.pop_front();
    this->heldMessages.push_back(
        {batch, {this->settings.self, member, messageTerm, std::move(body)}});
}

auto ConsensusNode::forward(Message message, const MemberId &receiver) -> void
{
    message.to = receiver;
    this->outbox.push_back(std::move(message));
}

auto ConsensusNode::changeElection(ElectionState changed) -> void
{
    this->election = std::move(changed);
    this->writes.electionChanged(this->election);
}

auto ConsensusNode::beginWrite(TimePoint now) -> void
{
    if (auto batch = this->writes.beginWrite(this->log, now))
        this->hooks.persist(*std::move(batch));
}

auto ConsensusNode::deliverCommitted() -> void
{
    while (this->deliveredIndex < this->committed) {
        const auto index = ++this->deliveredIndex;
        const auto &entry = this->log.at(index);
        this->proposals.erase(index);
        this->deliveredBytes += entry.payload.size();
        if (entry.kind == EntryKind::Command) {
            this->deferredCalls.emplace_back(
                [this, index, entry] { this->hooks.committed(index, entry.term, entry.payload); });
        }
    }
    if (this->currentRole == NodeRole::Leader && !this->leadershipAnnounced
        && this->committed >= this->termStartIndex) {
        this->leadershipAnnounced = true;
        this->deferredCalls.emplace_back(
            [this, term = this->election.term] { this->hooks.leadershipChanged(true, term); });
    }
    const auto snapshotDue =
        this->deliveredIndex >= this->log.snapshot().index + this->settings.snapshotInterval
        || this->deliveredBytes >= this->settings.maxLogBytes / 2;
    if (!this->snapshotRequested && snapshotDue) {
        this->snapshotRequested = true;
        this->deferredCalls.emplace_back(
            [this, index = this->deliveredIndex] { this->hooks.snapshotDue(index); });
    }
}

auto ConsensusNode::applyEffects(TimePoint now) -> void
{
    if (this->currentRole == NodeRole::Leader) {
        this->advanceCommit();
        this->changeMembers(now);
    }
    this->beginWrite(now);
    this->deliverCommitted();
    this->callHooks();
}

auto ConsensusNode::callHooks() -> void
{
    const auto messages = std::exchange(this->outbox, {});
    const auto calls = std::exchange(this->deferredCalls, {});
    for (const auto &message : messages)
        this->hooks.send(message);
    for (const auto &call : calls)
        call();
}

} // namespace auburnrail
