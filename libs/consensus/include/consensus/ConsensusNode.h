#ifndef AUBURNRAIL_CONSENSUS_CONSENSUSNODE_H
#define AUBURNRAIL_CONSENSUS_CONSENSUSNODE_H

#include <consensus/ConsensusHooks.h>
#include <consensus/ConsensusSettings.h>
#include <consensus/DurableState.h>
#include <consensus/Message.h>
#include <consensus/NodeRole.h>
#include <consensus/NodeStatus.h>
#include <consensus/detail/ProgressTable.h>
#include <consensus/detail/ReplicatedLog.h>
#include <consensus/detail/SnapshotAssembly.h>
#include <consensus/detail/WriteProgress.h>

#include <core/Time.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnrail {

/// One member of a Raft cluster: pre-vote, election, log replication, snapshot transfer, quorum
/// check, and replacement of members that lost their disk. The class contains decisions only: the
/// current time is passed in, and all effects go through hooks. After construction, call tick at
/// least every fifth of the heartbeat interval, and receive for each incoming message.
///
/// A member votes if the candidate's configuration contains the member's current incarnation, and
/// campaigns if its own configuration contains it. A new voter's vote therefore counts before the
/// configuration has reached that voter, which matters when a second member is lost right after the
/// first one was replaced.
///
/// The node never waits for its disk. Messages that depend on a change are held until it is
/// durable, and a leader counts its own copy of an entry only then; the leader's requests and the
/// responses to heartbeats go out at once. A disk that is full, stalled or slow differs only in how
/// long a write takes: while it is blocked (refused, or longer than diskStallLimit), the member
/// acknowledges no entry, grants no vote and does not campaign, and as leader it steps down once a
/// majority of the others has acknowledged what it can't write. Without such a majority a successor
/// could commit no more than this member, so that it keeps the leadership and with it the leases of
/// the entries.
///
/// Not thread-safe: the owner serializes calls with a mutex of LockRank::ConsensusNode.
class ConsensusNode
{
public:
    /// Starts from the persisted state. The member grants no votes for one minimum election
    /// timeout, because before the restart it may have responded to a leader that still relies on
    /// this for its quorum lease.
    ConsensusNode(ConsensusSettings nodeSettings, ConsensusHooks nodeHooks, DurableState restored,
                  TimePoint now);

    /// The durable state of a member of a new cluster: `names` are the voters, all with
    /// incarnation 0.
    [[nodiscard]] static auto bootstrap(const std::vector<MemberName> &names) -> DurableState;

    /// Handles expired timers.
    auto tick(TimePoint now) -> void;

    /// Handles a message from another member.
    auto receive(const Message &message, TimePoint now) -> void;

    /// Appends a command. Its index is reported by the `committed` or the `proposalLost` hook.
    /// The command was not appended on `kUnavailable` (this member is not the leader),
    /// `kResourceExhausted` (too many uncommitted entries) and `kInvalidArgument` (the payload is
    /// too large).
    [[nodiscard]] auto propose(std::string payload, TimePoint now) -> absl::StatusOr<LogIndex>;

    /// Stores a snapshot of the state machine after the entry at `index`, which must have been
    /// delivered or installed. Ignored when a snapshot at or after `index` exists.
    auto storeSnapshot(LogIndex index, std::string content, TimePoint now) -> void;

    /// The batch last passed to the persist hook is durable.
    auto persisted(TimePoint now) -> void;

    /// The disk refused the batch last passed to the persist hook. The owner writes it again.
    auto writeRefused(TimePoint now) -> void;

    /// Whether the disk has refused the batch under way or not completed it within diskStallLimit.
    [[nodiscard]] auto isDiskBlocked(TimePoint now) const -> bool;

    /// Time since the batch under way was passed to the persist hook; 0 if there is none.
    [[nodiscard]] auto writeAge(TimePoint now) const -> Duration;

    /// Whether this member holds the quorum lease: no other member can have become leader by `now`,
    /// and everything committed in earlier terms was delivered. The lease starts at the send time
    /// of the last round that a majority responded to, and lasts for the minimum election timeout
    /// less 5%, which allows for different clock rates.
    [[nodiscard]] auto isLeaderWithQuorum(TimePoint now) const -> bool;

    [[nodiscard]] auto role() const -> NodeRole;
    [[nodiscard]] auto term() const -> Term;
    [[nodiscard]] auto leader() const -> MemberName;
    [[nodiscard]] auto commitIndex() const -> LogIndex;
    [[nodiscard]] auto status(TimePoint now) const -> NodeStatus;

    /// The log in memory, for tests and tools.
    [[nodiscard]] auto entries() const -> const detail::ReplicatedLog &;

private:
    // Election (ConsensusNodeElection.cpp).
    auto campaign(TimePoint now) -> void;
    auto requestVotes(bool preVote) -> void;
    auto countVotes(TimePoint now) -> void;
    auto becomeLeader(TimePoint now) -> void;
    auto becomeFollower(Term newTerm, TimePoint now) -> void;
    auto endLeadership() -> void;
    auto restartElectionTimer(TimePoint now) -> void;
    auto handle(const Message &message, const VoteRequest &request, TimePoint now) -> void;
    auto handle(const Message &message, const VoteResponse &response, TimePoint now) -> void;

    // Follower (ConsensusNodeFollower.cpp).
    auto followLeader(const Message &message, TimePoint now) -> bool;
    auto handle(const Message &message, const AppendRequest &request, TimePoint now) -> void;
    auto appendFrom(const AppendRequest &request) -> LogIndex;
    auto retryIndex(const AppendRequest &request) const -> std::optional<LogIndex>;
    auto handle(const Message &message, const SnapshotRequest &request, TimePoint now) -> void;
    auto sendJoinRequests() -> void;

    // Leader (ConsensusNodeLeader.cpp).
    auto tickLeader(TimePoint now) -> void;
    /// Replicates to each member that has no outstanding request.
    auto replicateToAll(TimePoint now) -> void;
    auto sendHeartbeats(TimePoint now) -> void;
    /// Asks for a response without repeating the outstanding request. The response tells whether
    /// that request arrived, because it continues where the request ends.
    auto sendEmptyRequest(const MemberId &member, detail::MemberProgress &progress, TimePoint now)
        -> void;
    auto replicateTo(const MemberId &member, detail::MemberProgress &progress, TimePoint now)
        -> void;
    auto sendSnapshotChunk(const MemberId &member, detail::MemberProgress &progress, TimePoint now)
        -> void;
    auto recordResponse(const Message &message, Duration sentAt, TimePoint now)
        -> detail::MemberProgress *;
    auto handle(const Message &message, const AppendResponse &response, TimePoint now) -> void;
    auto handle(const Message &message, const SnapshotResponse &response, TimePoint now) -> void;
    auto handle(const Message &message, const JoinRequest &request, TimePoint now) -> void;
    auto advanceCommit() -> void;
    /// Whether a majority without this member has acknowledged all that this member can't write.
    [[nodiscard]] auto othersCanLead(TimePoint now) const -> bool;
    auto changeMembers(TimePoint now) -> void;

    // Effects (ConsensusNode.cpp).
    auto appendEntry(LogEntry entry) -> LogIndex;
    auto sendTo(const MemberId &member, Term messageTerm, MessageBody body) -> void;
    /// Sends the message once all changes so far are durable.
    auto sendWhenDurable(const MemberId &member, Term messageTerm, MessageBody body) -> void;
    /// Forwards a message of another member without changing its sender.
    auto forward(Message message, const MemberId &receiver) -> void;
    auto changeElection(ElectionState changed) -> void;
    auto beginWrite(TimePoint now) -> void;
    auto deliverCommitted() -> void;
    auto applyEffects(TimePoint now) -> void;
    auto callHooks() -> void;

    const ConsensusSettings settings;
    const ConsensusHooks hooks;

    ElectionState election;
    detail::ReplicatedLog log;
    LogIndex committed = 0;
    LogIndex deliveredIndex = 0;
    bool snapshotRequested = false;
    std::size_t deliveredBytes = 0; ///< Payload bytes delivered since the last snapshot.

    NodeRole currentRole = NodeRole::Follower;
    std::optional<MemberId> knownLeader;
    TimePoint lastLeaderContact;
    TimePoint electionDeadline;
    std::set<MemberId> votes;
    detail::SnapshotAssembly assembly;

    detail::ProgressTable progressTable;
    TimePoint leaderSince;
    TimePoint nextHeartbeat;
    LogIndex termStartIndex = 0;      ///< Index of the no-op entry that starts this leader's term.
    bool leadershipAnnounced = false; ///< leadershipChanged(true) was called for this term.
    std::set<LogIndex> proposals;     ///< Own proposals not committed yet.

    /// A message that depends on changes up to this batch.
    struct HeldMessage
    {
        std::uint64_t batch;
        Message message;
    };

    detail::WriteProgress writes;
    std::optional<TimePoint> lastBlockedAt; ///< When the disk was last seen blocked.
    std::deque<HeldMessage> heldMessages;
    std::vector<Message> outbox;
    /// Hook calls to make after persisting.
    std::vector<std::function<auto()->void>> deferredCalls;
};

} // namespace auburnrail

#endif
