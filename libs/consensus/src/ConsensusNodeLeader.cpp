#include <consensus/ConsensusNode.h>

#include "MemberReplacement.h"

#include <algorithm>
#include <utility>

namespace auburnrail {

namespace {

/// The quorum lease is shorter by this percentage than the time for which voters ignore other
/// candidates, to allow for different clock rates on two members.
constexpr auto CLOCK_RATE_MARGIN_PERCENT = 5;

/// A learner that is unresponsive for this many maximum election timeouts is removed. If it is
/// still running, it sends another join request.
constexpr auto UNRESPONSIVE_LEARNER_TIMEOUTS = 10;

} // namespace

auto ConsensusNode::isLeaderWithQuorum(TimePoint now) const -> bool
{
    if (this->currentRole != NodeRole::Leader || !this->leadershipAnnounced)
        return false;
    const auto lease = this->settings.minElectionTimeout * (100 - CLOCK_RATE_MARGIN_PERCENT) / 100;
    const auto respondedAt =
        this->progressTable.majorityRespondedAt(this->log.configuration(), now);
    return respondedAt && now < *respondedAt + lease;
}

auto ConsensusNode::tickLeader(TimePoint now) -> void
{
    const auto timeout = this->settings.minElectionTimeout;
    const auto respondedAt =
        this->progressTable.majorityRespondedAt(this->log.configuration(), now);
    const auto lastQuorum = std::max(respondedAt.value_or(this->leaderSince), this->leaderSince);
    if (now >= lastQuorum + timeout) {
        this->becomeFollower(this->election.term, now);
        return;
    }
    if (this->isDiskBlocked(now) && this->othersCanLead(now)) {
        this->becomeFollower(this->election.term, now);
        return;
    }
    this->progressTable.dropUnresponsiveLearners(
        this->settings.maxElectionTimeout * UNRESPONSIVE_LEARNER_TIMEOUTS, now);
    if (now >= this->nextHeartbeat) {
        this->nextHeartbeat = now + this->settings.heartbeatInterval;
        this->sendHeartbeats(now);
    }
}

auto ConsensusNode::replicateToAll(TimePoint now) -> void
{
    for (auto &[member, progress] : this->progressTable.rows()) {
        if (!progress.outstandingSentAt)
            this->replicateTo(member, progress, now);
    }
}

auto ConsensusNode::sendHeartbeats(TimePoint now) -> void
{
    for (auto &[member, progress] : this->progressTable.rows()) {
        if (progress.outstandingSentAt)
            this->sendEmptyRequest(member, progress, now);
        else
            this->replicateTo(member, progress, now);
    }
}

auto ConsensusNode::sendEmptyRequest(const MemberId &member, detail::MemberProgress &progress,
                                     TimePoint now) -> void
{
    const auto sentAt = now.time_since_epoch();
    const auto &snapshot = this->log.snapshot();
    if (progress.snapshotIndex != 0 && progress.snapshotIndex == snapshot.index) {
        this->sendTo(member, this->election.term,
                     SnapshotRequest{.index = snapshot.index,
                                     .term = snapshot.term,
                                     .configuration = snapshot.configuration,
                                     .offset = progress.snapshotSentThrough,
                                     .sentAt = sentAt});
        return;
    }
    const auto term = this->log.termAt(progress.sentThrough);
    if (progress.snapshotIndex != 0 || !term) {
        // The snapshot was replaced, or the entries were compacted.
        this->replicateTo(member, progress, now);
        return;
    }
    this->sendTo(member, this->election.term,
                 AppendRequest{.previousIndex = progress.sentThrough,
                               .previousTerm = *term,
                               .commitIndex = this->committed,
                               .sentAt = sentAt,
                               .entries = {}});
}

auto ConsensusNode::replicateTo(const MemberId &member, detail::MemberProgress &progress,
                                TimePoint now) -> void
{
    progress.outstandingSentAt = now.time_since_epoch();
    const auto previous = progress.nextIndex - 1;
    const auto previousTerm = this->log.termAt(previous);
    if (!previousTerm) {
        this->sendSnapshotChunk(member, progress, now);
        return;
    }
    auto entries = this->log.slice(progress.nextIndex, this->settings.maxEntriesPerMessage,
                                   this->settings.maxBytesPerMessage);
    progress.sentThrough = previous + entries.size();
    progress.snapshotIndex = 0;
    this->sendTo(member, this->election.term,
                 AppendRequest{.previousIndex = previous,
                               .previousTerm = *previousTerm,
                               .commitIndex = this->committed,
                               .sentAt = now.time_since_epoch(),
                               .entries = std::move(entries)});
}

auto ConsensusNode::sendSnapshotChunk(const MemberId &member, detail::MemberProgress &progress,
                                      TimePoint now) -> void
{
    const auto &snapshot = this->log.snapshot();
    if (progress.snapshotIndex != snapshot.index) {
        progress.snapshotIndex = snapshot.index;
        progress.snapshotOffset = 0;
    }
    progress.sentThrough = snapshot.index;
    const auto offset = std::min<std::uint64_t>(progress.snapshotOffset, snapshot.content.size());
    auto chunk = snapshot.content.substr(offset, this->settings.maxBytesPerMessage);
    progress.snapshotSentThrough = offset + chunk.size();
    const auto last = progress.snapshotSentThrough == snapshot.content.size();
    this->sendTo(member, this->election.term,
                 SnapshotRequest{.index = snapshot.index,
                                 .term = snapshot.term,
                                 .configuration = snapshot.configuration,
                                 .offset = offset,
                                 .chunk = std::move(chunk),
                                 .last = last,
                                 .sentAt = now.time_since_epoch()});
}

auto ConsensusNode::recordResponse(const Message &message, Duration sentAt, TimePoint now)
    -> detail::MemberProgress *
{
    if (message.term > this->election.term) {
        this->becomeFollower(message.term, now);
        return nullptr;
    }
    if (this->currentRole != NodeRole::Leader || message.term < this->election.term)
        return nullptr;
    auto *progress = this->progressTable.find(message.from);
    if (progress != nullptr) {
        const auto sent = TimePoint(sentAt);
        progress->lastRespondedSentAt =
            std::max(progress->lastRespondedSentAt.value_or(sent), sent);
    }
    return progress;
}

auto ConsensusNode::handle(const Message &message, const AppendResponse &response, TimePoint now)
    -> void
{
    auto *progress = this->recordResponse(message, response.sentAt, now);
    if (progress == nullptr)
        return;
    if (response.accepted) {
        progress->matchIndex = std::max(progress->matchIndex, response.matchIndex);
        progress->nextIndex = std::max(progress->nextIndex, progress->matchIndex + 1);
        // A member that has received the entries and not written them yet responds again.
        if (progress->matchIndex < progress->sentThrough)
            return;
        progress->outstandingSentAt.reset();
        if (progress->nextIndex <= this->log.lastIndex())
            this->replicateTo(message.from, *progress, now);
        return;
    }
    const auto isOutstanding = progress->outstandingSentAt == response.sentAt;
    if (!isOutstanding && !progress->isLost(response.sentAt))
        return;
    // The outstanding request itself is refused for the entry before those that it carries.
    const auto highest = progress->nextIndex - (isOutstanding ? 1 : 0);
    const auto lowest = progress->matchIndex + 1;
    progress->nextIndex = std::clamp(response.retryFrom, lowest, std::max(lowest, highest));
    this->replicateTo(message.from, *progress, now);
}

auto ConsensusNode::handle(const Message &message, const SnapshotResponse &response, TimePoint now)
    -> void
{
    auto *progress = this->recordResponse(message, response.sentAt, now);
    if (progress == nullptr || !progress->outstandingSentAt)
        return;
    const auto isReceived = response.index == progress->snapshotIndex
                            && response.nextOffset == progress->snapshotSentThrough;
    if (!isReceived && progress->outstandingSentAt != response.sentAt
        && !progress->isLost(response.sentAt))
        return;
    if (response.index == progress->snapshotIndex)
        progress->snapshotOffset = response.nextOffset;
    this->replicateTo(message.from, *progress, now);
}

auto ConsensusNode::handle(const Message &message, const JoinRequest &, TimePoint now) -> void
{
    if (this->currentRole != NodeRole::Leader) {
        // A new member knows only some of the members, and the leader may not be among them.
        if (this->settings.admitsNewMembers && this->knownLeader
            && *this->knownLeader != message.from && message.to != *this->knownLeader)
            this->forward(message, *this->knownLeader);
        return;
    }
    auto *progress = this->progressTable.find(message.from);
    if (progress == nullptr)
        progress = &this->progressTable.addLearner(message.from, this->log.lastIndex() + 1, now);
    if (!progress->outstandingSentAt)
        this->replicateTo(message.from, *progress, now);
}

auto ConsensusNode::advanceCommit() -> void
{
    const auto index =
        this->progressTable.majorityIndex(this->log.configuration(), this->writes.durableIndex());
    // An entry of an earlier term must not be committed by counting replicas, since a later leader
    // could still overwrite it. It is committed together with an entry of the current term.
    if (index > this->committed && this->log.termAt(index) == this->election.term)
        this->committed = index;
}

auto ConsensusNode::othersCanLead(TimePoint now) const -> bool
{
    const auto &configuration = this->log.configuration();
    const auto able = std::count_if(
        this->progressTable.rows().begin(), this->progressTable.rows().end(), [&](const auto &row) {
            return row.second.voter && row.second.matchIndex >= this->writes.lastIndexUnderWay()
                   && row.second.respondedWithin(this->settings.minElectionTimeout, now);
        });
    return static_cast<std::size_t>(able) >= configuration.majority();
}

auto ConsensusNode::changeMembers(TimePoint now) -> void
{
    if (this->committed < this->termStartIndex || this->log.configurationIndex() > this->committed)
        return;
    auto next = detail::nextConfiguration(this->log.configuration(), this->progressTable,
                                          this->committed, this->settings, now);
    if (!next)
        return;
    this->appendEntry({.term = this->election.term,
                       .kind = EntryKind::Configuration,
                       .configuration = std::move(*next)});
    this->progressTable.applyConfiguration(this->log.configuration(), this->log.lastIndex() + 1,
                                           now);
    this->replicateToAll(now);
}

} // namespace auburnrail
