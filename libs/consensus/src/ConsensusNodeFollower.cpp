#include <consensus/ConsensusNode.h>

#include <algorithm>
#include <utility>

namespace auburnrail {

auto ConsensusNode::followLeader(const Message &message, TimePoint now) -> bool
{
    if (message.term < this->election.term)
        return false;
    if (message.term > this->election.term || this->currentRole != NodeRole::Follower)
        this->becomeFollower(message.term, now);
    this->knownLeader = message.from;
    this->lastLeaderContact = now;
    this->restartElectionTimer(now);
    return true;
}

auto ConsensusNode::handle(const Message &message, const AppendRequest &request, TimePoint now)
    -> void
{
    auto response = AppendResponse{.sentAt = request.sentAt};
    if (this->followLeader(message, now)) {
        if (const auto retry = this->retryIndex(request)) {
            response.retryFrom = *retry;
        } else {
            const auto before = std::pair(this->log.lastIndex(), this->log.lastTerm());
            const auto matched = this->appendFrom(request);
            this->committed = std::max(this->committed, std::min(request.commitIndex, matched));
            response.accepted = true;
            // The leader of a term holds every entry committed in earlier terms.
            response.matchIndex = std::max(matched, this->committed);
            const auto changed = before != std::pair(this->log.lastIndex(), this->log.lastTerm());
            const auto electionDurable = this->writes.isElectionDurable();
            const auto slow = this->writes.isBlocked(this->settings.heartbeatInterval, now);
            if (changed || !electionDurable)
                this->sendWhenDurable(message.from, this->election.term, response);
            if (!electionDurable || (changed && !slow))
                return;
            // A request is also a heartbeat, which is answered even while the disk is busy.
            response.matchIndex = std::min(response.matchIndex, this->writes.durableIndex());
        }
    }
    this->sendTo(message.from, this->election.term, response);
}

auto ConsensusNode::retryIndex(const AppendRequest &request) const -> std::optional<LogIndex>
{
    if (request.previousIndex > this->log.lastIndex())
        return this->log.lastIndex() + 1;
    // Committed entries match the leader's log; their terms may have been compacted away.
    if (request.previousIndex <= this->committed
        || this->log.termAt(request.previousIndex) == request.previousTerm)
        return std::nullopt;
    // Skips all entries of the conflicting term in one round trip.
    auto index = request.previousIndex;
    const auto conflicting = this->log.termAt(index);
    while (index > this->committed + 1 && this->log.termAt(index - 1) == conflicting)
        --index;
    return index;
}

auto ConsensusNode::appendFrom(const AppendRequest &request) -> LogIndex
{
    auto index = request.previousIndex;
    for (const auto &entry : request.entries) {
        ++index;
        if (index <= this->committed || this->log.termAt(index) == entry.term)
            continue;
        if (index <= this->log.lastIndex()) {
            this->log.truncateFrom(index);
            this->writes.truncatedFrom(index);
        }
        this->appendEntry(entry);
    }
    return index;
}

auto ConsensusNode::handle(const Message &message, const SnapshotRequest &request, TimePoint now)
    -> void
{
    if (!this->followLeader(message, now)) {
        this->sendTo(message.from, this->election.term, AppendResponse{.sentAt = request.sentAt});
        return;
    }
    auto installed = std::optional<Snapshot>();
    if (request.index > this->committed)
        installed = this->assembly.add(request);
    if (installed) {
        const auto held = this->log.termAt(installed->index) == installed->term;
        const auto matchingThrough = held ? this->log.lastIndex() : this->committed;
        this->committed = installed->index;
        this->deliveredIndex = installed->index;
        this->deliveredBytes = 0;
        this->snapshotRequested = false;
        this->deferredCalls.emplace_back([this, snapshot = *installed] {
            this->hooks.installSnapshot(snapshot.content, snapshot.index, snapshot.term);
        });
        const auto keepFrom = installed->index + 1;
        this->log.replaceSnapshot(*installed, keepFrom);
        this->writes.snapshotReplaced(*installed, keepFrom, matchingThrough, this->log);
    }
    if (request.index <= this->committed) {
        auto response = AppendResponse{
            .accepted = true, .matchIndex = this->committed, .sentAt = request.sentAt};
        if (installed || !this->writes.isElectionDurable()) {
            this->sendWhenDurable(message.from, this->election.term, response);
            return;
        }
        response.matchIndex = std::min(this->committed, this->writes.durableIndex());
        this->sendTo(message.from, this->election.term, response);
        return;
    }
    this->sendTo(message.from, this->election.term,
                 SnapshotResponse{request.index, this->assembly.nextOffset(), request.sentAt});
}

auto ConsensusNode::sendJoinRequests() -> void
{
    for (const auto &name : this->settings.members) {
        if (name != this->settings.self.name)
            this->sendTo(MemberId{name, 0}, this->election.term, JoinRequest());
    }
}

} // namespace auburnrail
