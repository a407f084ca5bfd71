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

#include <core/Time.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnrail {

/// One member of the replicated log: pre-vote, election, replication, snapshot transfer, check of
/// the quorum, and replacement of members whose disk was lost. It decides only; time is passed in
/// and everything else goes through hooks. After construction call tick at least every fifth of the
/// heartbeat interval, and receive for each message.
///
/// A member votes when the candidate's configuration names it with its present incarnation, and
/// campaigns when its own configuration does. Configurations therefore need not have reached a new
/// voter before its vote counts, which matters when a second member is lost right after a repair.
///
/// Thread rule: one caller at a time; its owner locks it with LockRank::ConsensusNode.
class ConsensusNode
{
public:
    /// Starts from what was persisted. It refuses votes for one minimum election timeout, because
    /// it may have promised that to a leader before it stopped.
    ConsensusNode(ConsensusSettings nodeSettings, ConsensusHooks nodeHooks, DurableState restored,
                  TimePoint now);

    /// The durable state of an initial member: `names` are the voters, all with incarnation 0.
    [[nodiscard]] static auto bootstrap(const std::vector<MemberName> &names) -> DurableState;

    /// Acts on the passing of time.
    auto tick(TimePoint now) -> void;

    /// Acts on a message of another member.
    auto receive(const Message &message, TimePoint now) -> void;

    /// Appends a command. Its index is reported by the `committed` or the `proposalLost` hook.
    /// `kUnavailable` when this member is not the leader, `kResourceExhausted` when too many
    /// entries are not committed yet, `kInvalidArgument` when the payload is too large: it was not
    /// appended. `kInternal` when the write to disk failed: the outcome is unknown.
    [[nodiscard]] auto propose(std::string payload, TimePoint now) -> absl::StatusOr<LogIndex>;

    /// Stores the caller's state after the entry at `index`, which was handed over or installed.
    /// Ignored when a later snapshot is there.
    auto storeSnapshot(LogIndex index, std::string content) -> absl::Status;

    /// Whether no other member can have become leader by `now`, and everything committed before was
    /// handed over. Holds for the minimum election timeout less 5% for the difference between
    /// clock rates, from the sending of the last round that a majority answered.
    [[nodiscard]] auto isLeaderWithQuorum(TimePoint now) const -> bool;

    [[nodiscard]] auto role() const -> NodeRole;
    [[nodiscard]] auto term() const -> Term;
    [[nodiscard]] auto leader() const -> MemberName;
    [[nodiscard]] auto commitIndex() const -> LogIndex;
    [[nodiscard]] auto status(TimePoint now) const -> NodeStatus;

    /// The entries in memory, for tests and tools.
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
    auto askToJoin() -> void;

    // Leader (ConsensusNodeLeader.cpp).
    auto leadTick(TimePoint now) -> void;
    auto replicateToAll(TimePoint now, bool evenAwaited) -> void;
    auto replicateTo(const MemberId &member, detail::MemberProgress &progress, TimePoint now)
        -> void;
    auto sendSnapshotChunk(const MemberId &member, detail::MemberProgress &progress, TimePoint now)
        -> void;
    auto answeredBy(const Message &message, Duration sentAt, TimePoint now)
        -> detail::MemberProgress *;
    auto handle(const Message &message, const AppendResponse &response, TimePoint now) -> void;
    auto handle(const Message &message, const SnapshotResponse &response, TimePoint now) -> void;
    auto handle(const Message &message, const JoinRequest &request, TimePoint now) -> void;
    auto advanceCommit() -> void;
    auto changeMembers(TimePoint now) -> void;

    // Effects (ConsensusNode.cpp).
    auto appendEntry(LogEntry entry) -> LogIndex;
    auto sendTo(const MemberId &member, Term messageTerm, MessageBody body) -> void;
    /// Sends a message of another member on, in that member's name.
    auto forward(Message message, const MemberId &receiver) -> void;
    auto persistPending() -> bool;
    auto handOverCommitted() -> void;
    auto finish(TimePoint now) -> void;
    auto callHooks() -> void;

    const ConsensusSettings settings;
    const ConsensusHooks hooks;

    ElectionState election;
    detail::ReplicatedLog log;
    LogIndex committed = 0;
    LogIndex handedOver = 0;
    bool snapshotRequested = false;

    NodeRole currentRole = NodeRole::Follower;
    std::optional<MemberId> knownLeader;
    TimePoint lastLeaderContact;
    TimePoint electionDeadline;
    std::set<MemberId> votes;
    detail::SnapshotAssembly assembly;

    detail::ProgressTable progressTable;
    TimePoint leaderSince;
    TimePoint nextHeartbeat;
    LogIndex termStart = 0;           ///< Index of this leader's no-op entry.
    bool leadershipAnnounced = false; ///< leadershipChanged(true) was called for this term.
    std::set<LogIndex> proposals;     ///< Own proposals that are not committed.

    PersistBatch pending;
    std::vector<Message> outbox;
    std::vector<std::function<auto()->void>> notices; ///< Hook calls due after the persist.
};

} // namespace auburnrail

#endif
