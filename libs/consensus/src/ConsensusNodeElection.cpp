#include <consensus/ConsensusNode.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnrail {

namespace {

/// For this long after its disk was blocked, a member campaigns later than the others, so that a
/// disk that stalls now and then does not change the leader each time.
constexpr auto DISK_RECOVERY_TIME = std::chrono::seconds(10);

} // namespace

auto ConsensusNode::campaign(TimePoint now) -> void
{
    this->restartElectionTimer(now);
    // A member that can't write could not become leader and would only disturb the others.
    if (this->isDiskBlocked(now))
        return;
    this->knownLeader.reset();
    const auto voter = this->log.configuration().contains(this->settings.self);
    // A candidate that gets no response may have a configuration that was never committed and that
    // the current leader does not have. Only a join request makes that leader aware of this member.
    if (!voter || this->currentRole == NodeRole::PreCandidate)
        this->sendJoinRequests();
    if (!voter)
        return;
    // An attempt usually fails because another voter received the leader's last message slightly
    // later or campaigned at the same time, so the next attempt starts before a full timeout.
    const auto spread = this->electionDeadline - now - this->settings.minElectionTimeout;
    this->electionDeadline = now + this->settings.heartbeatInterval + spread / 2;
    this->currentRole = NodeRole::PreCandidate;
    this->votes = {this->settings.self};
    this->requestVotes(true);
    this->countVotes(now);
}

auto ConsensusNode::requestVotes(bool preVote) -> void
{
    const auto messageTerm = this->election.term + (preVote ? 1 : 0);
    for (const auto &voter : this->log.configuration().voters) {
        if (voter == this->settings.self)
            continue;
        const auto request = VoteRequest{preVote, this->log.lastIndex(), this->log.lastTerm()};
        if (preVote)
            this->sendTo(voter, messageTerm, request);
        else
            this->sendWhenDurable(voter, messageTerm, request);
    }
}

auto ConsensusNode::countVotes(TimePoint now) -> void
{
    const auto &voters = this->log.configuration().voters;
    const auto granted = std::count_if(voters.begin(), voters.end(), [this](const MemberId &voter) {
        return this->votes.contains(voter);
    });
    if (static_cast<std::size_t>(granted) < this->log.configuration().majority())
        return;
    if (this->currentRole == NodeRole::Candidate) {
        this->becomeLeader(now);
        return;
    }
    this->currentRole = NodeRole::Candidate;
    this->changeElection({this->election.term + 1, this->settings.self});
    // Its own vote counts once it is durable.
    this->votes.clear();
    this->requestVotes(false);
}

auto ConsensusNode::becomeLeader(TimePoint now) -> void
{
    this->currentRole = NodeRole::Leader;
    this->knownLeader = this->settings.self;
    this->leaderSince = now;
    this->leadershipAnnounced = false;
    this->proposals.clear();
    this->progressTable.reset(this->settings.self);
    this->progressTable.applyConfiguration(this->log.configuration(), this->log.lastIndex() + 1,
                                           now);
    this->termStartIndex =
        this->appendEntry({.term = this->election.term, .kind = EntryKind::Noop});
    this->nextHeartbeat = now + this->settings.heartbeatInterval;
    this->replicateToAll(now);
}

auto ConsensusNode::becomeFollower(Term newTerm, TimePoint now) -> void
{
    assert(newTerm >= this->election.term && "the term must not decrease");
    if (this->currentRole == NodeRole::Leader) {
        this->endLeadership();
        this->restartElectionTimer(now);
    }
    if (newTerm > this->election.term)
        this->changeElection({newTerm, std::nullopt});
    this->currentRole = NodeRole::Follower;
    this->knownLeader.reset();
}

auto ConsensusNode::endLeadership() -> void
{
    if (this->currentRole != NodeRole::Leader)
        return;
    for (const auto index : std::exchange(this->proposals, {})) {
        this->deferredCalls.emplace_back(
            [this, index, term = this->election.term] { this->hooks.proposalLost(index, term); });
    }
    if (std::exchange(this->leadershipAnnounced, false)) {
        this->deferredCalls.emplace_back(
            [this, term = this->election.term] { this->hooks.leadershipChanged(false, term); });
    }
    this->progressTable.reset(this->settings.self);
}

auto ConsensusNode::restartElectionTimer(TimePoint now) -> void
{
    const auto timeout = this->hooks.randomTimeout();
    this->electionDeadline =
        now
        + std::clamp(timeout, this->settings.minElectionTimeout, this->settings.maxElectionTimeout);
    if (this->lastBlockedAt && now < *this->lastBlockedAt + DISK_RECOVERY_TIME)
        this->electionDeadline += this->settings.maxElectionTimeout;
}

auto ConsensusNode::handle(const Message &message, const VoteRequest &request, TimePoint now)
    -> void
{
    // A voter that was replaced while it was down knows neither that it was replaced nor that there
    // is a leader, because the leader does not replicate to it. Handle its request as a join.
    if (this->currentRole == NodeRole::Leader && this->settings.admitsNewMembers
        && !this->log.configuration().contains(message.from)) {
        this->handle(message, JoinRequest(), now);
        return;
    }
    const auto refuse = [&] {
        this->sendTo(message.from, this->election.term, VoteResponse{request.preVote, false});
    };
    if (message.term < this->election.term
        || (request.preVote && message.term == this->election.term)) {
        refuse();
        return;
    }
    // A leader's quorum lease relies on this: a member that responded to the leader grants no vote
    // to another candidate for the minimum election timeout.
    if (this->currentRole == NodeRole::Leader
        || now < this->lastLeaderContact + this->settings.minElectionTimeout)
        return;
    const auto upToDate = std::pair(request.lastTerm, request.lastIndex)
                          >= std::pair(this->log.lastTerm(), this->log.lastIndex());
    if (request.preVote) {
        if (upToDate)
            this->sendTo(message.from, message.term, VoteResponse{true, true});
        else
            refuse();
        return;
    }
    if (message.term > this->election.term)
        this->becomeFollower(message.term, now);
    const auto voteAvailable = !this->election.vote || this->election.vote == message.from;
    if (!upToDate || !voteAvailable) {
        refuse();
        return;
    }
    if (!this->election.vote)
        this->changeElection({this->election.term, message.from});
    this->restartElectionTimer(now);
    this->sendWhenDurable(message.from, this->election.term, VoteResponse{false, true});
}

auto ConsensusNode::handle(const Message &message, const VoteResponse &response, TimePoint now)
    -> void
{
    if (!response.granted) {
        if (message.term > this->election.term)
            this->becomeFollower(message.term, now);
        return;
    }
    const auto expectedRole = response.preVote ? NodeRole::PreCandidate : NodeRole::Candidate;
    const auto expectedTerm = this->election.term + (response.preVote ? 1 : 0);
    if (this->currentRole != expectedRole || message.term != expectedTerm)
        return;
    this->votes.insert(message.from);
    this->countVotes(now);
}

} // namespace auburnrail
