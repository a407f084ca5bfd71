#include <consensus/ConsensusNode.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnrail {

namespace {

constexpr auto MAX_UNCOMMITTED_ENTRIES = LogIndex(4096);

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
    if (this->currentRole == NodeRole::Failed)
        return;
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
    if (this->currentRole == NodeRole::Failed || !known
        || message.from.name == this->settings.self.name
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
    this->replicateToAll(now, false);
    this->proposals.insert(index);
    this->applyEffects(now);
    if (this->currentRole == NodeRole::Failed)
        return absl::InternalError("the write to disk failed; the outcome is unknown");
    return index;
}

auto ConsensusNode::storeSnapshot(LogIndex index, std::string content) -> absl::Status
{
    if (this->currentRole == NodeRole::Failed)
        return absl::UnavailableError("a write to disk failed");
    this->snapshotRequested = false;
    if (index <= this->log.snapshot().index)
        return absl::OkStatus();
    assert(index <= this->deliveredIndex && "the entry must have been delivered");
    auto snapshot = Snapshot{index, *this->log.termAt(index), this->log.configurationAt(index),
                             std::move(content)};
    const auto keepFrom =
        index > this->settings.entriesKept ? index - this->settings.entriesKept : 1;
    this->pending.snapshot = snapshot;
    this->pending.keepFrom = keepFrom;
    this->log.replaceSnapshot(std::move(snapshot), keepFrom);
    if (!this->persistPending()) {
        this->callHooks();
        return absl::InternalError("the write of the snapshot failed");
    }
    return absl::OkStatus();
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
                             .members = {}};
    if (this->currentRole != NodeRole::Leader) {
        for (const auto &voter : this->log.configuration().voters)
            result.members.push_back({voter, true, 0, std::nullopt});
        return result;
    }
    result.members.push_back({this->settings.self, true, this->log.lastIndex(), Duration(0)});
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
    this->pending.appended.push_back(entry);
    const auto index = this->log.append(std::move(entry));
    if (this->pending.appended.size() == 1)
        this->pending.firstAppended = index;
    return index;
}

auto ConsensusNode::sendTo(const MemberId &member, Term messageTerm, MessageBody body) -> void
{
    this->outbox.push_back({this->settings.self, member, messageTerm, std::move(body)});
}

auto ConsensusNode::forward(Message message, const MemberId &receiver) -> void
{
    message.to = receiver;
    this->outbox.push_back(std::move(message));
}

auto ConsensusNode::persistPending() -> bool
{
    if (this->pending.empty())
        return true;
    const auto batch = std::exchange(this->pending, PersistBatch());
    if (this->hooks.persist(batch).ok())
        return true;
    this->endLeadership();
    this->currentRole = NodeRole::Failed;
    this->knownLeader.reset();
    this->outbox.clear();
    return false;
}

auto ConsensusNode::deliverCommitted() -> void
{
    while (this->deliveredIndex < this->committed) {
        const auto index = ++this->deliveredIndex;
        const auto &entry = this->log.at(index);
        this->proposals.erase(index);
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
    if (!this->snapshotRequested
        && this->deliveredIndex >= this->log.snapshot().index + this->settings.snapshotInterval) {
        this->snapshotRequested = true;
        this->deferredCalls.emplace_back(
            [this, index = this->deliveredIndex] { this->hooks.snapshotDue(index); });
    }
}

auto ConsensusNode::applyEffects(TimePoint now) -> void
{
    while (this->persistPending() && this->currentRole == NodeRole::Leader) {
        this->advanceCommit();
        this->changeMembers(now);
        if (this->pending.empty())
            break;
    }
    if (this->currentRole != NodeRole::Failed)
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
