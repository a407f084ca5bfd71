#include "CommitEntries.h"
#include "SimulatedCluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace auburnrail {

using namespace std::chrono_literals;
using testing::commitEntries;
using testing::SimulatedCluster;

namespace {

auto otherThan(const SimulatedCluster &cluster, const MemberName &name) -> MemberName
{
    const auto names = cluster.names();
    return *std::find_if(names.begin(), names.end(), [&](const auto &x) { return x != name; });
}

} // namespace

// Guards against an isolated leader that continues to grant leases or leaves callers waiting.
TEST_CASE("an isolated leader steps down and its proposals are reported as lost")
{
    auto cluster = SimulatedCluster(3, 1);
    const auto old = cluster.awaitLeader();
    cluster.isolate(old);
    REQUIRE(cluster.propose("unconfirmed"));
    cluster.run(520ms);
    CHECK(cluster.member(old).node->role() == NodeRole::Follower);
    CHECK_FALSE(cluster.member(old).announcedLeader);
    CHECK(cluster.member(old).lostProposals.size() == 1);
    CHECK_FALSE(cluster.member(old).node->propose("late", cluster.now).ok());
    CHECK(cluster.awaitLeader() != old);
    commitEntries(cluster, 3);
    cluster.heal();
    CHECK(cluster.runUntil([&] { return cluster.converged(); }, 2s));
    CHECK(cluster.committed.size() == 3);
}

// Guards against repeated split votes that take longer than the 2 s leases of the entry processes.
TEST_CASE("a crashed leader is replaced within 2 s")
{
    for (auto seed = std::uint64_t(1); seed <= 300; ++seed) {
        INFO("seed " << seed);
        auto cluster = SimulatedCluster(3, seed);
        cluster.crash(cluster.awaitLeader());
        REQUIRE(cluster.runUntil([&] { return !cluster.leader().empty(); }, 2s));
    }
}

// Guards against a leader that cannot receive, but whose heartbeats keep its followers from
// electing another leader.
TEST_CASE("a leader that can send but not receive is replaced")
{
    auto cluster = SimulatedCluster(3, 2);
    const auto old = cluster.awaitLeader();
    for (const auto &name : cluster.names())
        cluster.blockOneWay(name, old);
    CHECK(
        cluster.runUntil([&] { return !cluster.leader().empty() && cluster.leader() != old; }, 5s));
}

// Guards against a member that deposes a working leader when it returns after a long partition.
TEST_CASE("a follower that returns after a long partition does not disturb the leader")
{
    auto cluster = SimulatedCluster(3, 3);
    const auto leader = cluster.awaitLeader();
    const auto term = cluster.member(leader).node->term();
    const auto follower = otherThan(cluster, leader);
    cluster.isolate(follower);
    commitEntries(cluster, 20);
    cluster.run(60s);
    cluster.heal();
    CHECK(cluster.runUntil([&] { return cluster.converged(); }, 2s));
    CHECK(cluster.leader() == leader);
    CHECK(cluster.member(leader).node->term() == term);
}

// Guards against a voter that, after a restart, grants a vote before the leader's quorum lease has
// expired: two members would hold the lease at the same time.
TEST_CASE("a voter grants no vote against a working leader right after a restart")
{
    auto cluster = SimulatedCluster(3, 9);
    const auto leader = cluster.awaitLeader();
    const auto candidate = otherThan(cluster, leader);
    cluster.blockOneWay(leader, candidate);
    cluster.blockOneWay(candidate, leader);
    for (auto round = 0; round < 50; ++round) {
        for (const auto &name : cluster.names()) {
            if (name != leader && name != candidate) {
                cluster.crash(name);
                cluster.restart(name);
            }
        }
        cluster.run(150ms);
        REQUIRE(cluster.leader() == leader);
    }
}

// Guards against two leaders in a term, because a voter forgets its vote in a restart and grants
// another one.
TEST_CASE("a vote persists across a restart")
{
    auto cluster = SimulatedCluster(3, 10);
    cluster.crash("m1");
    cluster.crash("m3");
    auto grants = std::vector<bool>();
    cluster.onSend = [&](const Message &message) {
        if (const auto *response = std::get_if<VoteResponse>(&message.body))
            grants.push_back(response->granted);
    };
    const auto requestVoteFor = [&](const MemberName &candidate) {
        cluster.run(600ms);
        cluster.member("m2").receive({{candidate, 0}, {"m2", 0}, 5, VoteRequest{false, 9, 4}},
                                     cluster.now);
    };
    requestVoteFor("m1");
    cluster.crash("m2");
    cluster.restart("m2");
    requestVoteFor("m3");
    requestVoteFor("m1");
    CHECK(grants == std::vector<bool>{true, false, true});
}

// Guards against a leader that lacks committed entries.
TEST_CASE("no vote is granted to a candidate whose log is behind")
{
    auto cluster = SimulatedCluster(3, 12);
    cluster.awaitLeader();
    commitEntries(cluster, 3);
    auto &member = cluster.member("m2");
    REQUIRE(cluster.runUntil([&] { return cluster.converged(); }, 1s));
    cluster.isolate("m2");
    cluster.run(600ms);
    const auto lastIndex = member.node->entries().lastIndex();
    const auto lastTerm = member.node->entries().lastTerm();
    auto granted = false;
    cluster.onSend = [&](const Message &message) {
        const auto *response = std::get_if<VoteResponse>(&message.body);
        granted = granted || (response != nullptr && response->granted);
    };
    for (const auto preVote : {true, false}) {
        for (const auto &[index, term] :
             {std::pair(lastIndex - 1, lastTerm), std::pair(lastIndex + 5, lastTerm - 1)}) {
            member.receive({{"m1", 0}, {"m2", 0}, lastTerm + 9, VoteRequest{preVote, index, term}},
                           cluster.now);
            CHECK_FALSE(granted);
        }
    }
}

// Guards against a committed entry that a later leader overwrites: an entry of an earlier term on a
// majority can still be overwritten until an entry of the current term is on a majority too.
TEST_CASE("an entry of an earlier term is committed only with one of the current term")
{
    auto cluster = SimulatedCluster(3, 11);
    for (const auto &name : cluster.names())
        cluster.crash(name);
    auto &member = cluster.member("m1");
    member.disk.election.term = 2;
    member.disk.entries.push_back({.term = 2, .kind = EntryKind::Command, .payload = "old"});
    cluster.restart("m1");
    REQUIRE(cluster.runUntil([&] { return member.node->role() == NodeRole::PreCandidate; }, 2s));
    const auto respond = [&](MessageBody body) {
        member.receive({{"m2", 0}, {"m1", 0}, 3, std::move(body)}, cluster.now);
    };
    respond(VoteResponse{true, true});
    respond(VoteResponse{false, true});
    REQUIRE(member.node->role() == NodeRole::Leader);
    const auto sentAt = cluster.now.time_since_epoch();
    respond(AppendResponse{.accepted = true, .matchIndex = 1, .sentAt = sentAt});
    CHECK(member.node->commitIndex() == 0);
    CHECK_FALSE(member.node->isLeaderWithQuorum(cluster.now));
    respond(AppendResponse{.accepted = true, .matchIndex = 2, .sentAt = sentAt});
    CHECK(member.node->commitIndex() == 2);
    CHECK(member.state == "old");
    CHECK(member.node->isLeaderWithQuorum(cluster.now));
}

// Guards against a restarted member that never catches up, either from the log or by a snapshot.
TEST_CASE("a member that missed entries catches up")
{
    struct Case
    {
        std::size_t missed;
        LogIndex snapshots;
    };
    const auto row = GENERATE(Case{500, 0}, Case{2500, 1});
    auto cluster = SimulatedCluster(3, 4);
    const auto leader = cluster.awaitLeader();
    const auto down = otherThan(cluster, leader);
    commitEntries(cluster, 10);
    cluster.crash(down);
    commitEntries(cluster, row.missed);
    CHECK(cluster.leader() == leader);
    cluster.restart(down);
    CHECK(cluster.runUntil([&] { return cluster.converged(); }, 3s));
    CHECK(cluster.member(down).installedSnapshots == row.snapshots);
    CHECK(cluster.member(down).state == cluster.member(leader).state);
    const auto &log = cluster.member(leader).node->entries();
    CHECK(log.lastIndex() - log.snapshot().index < SNAPSHOT_INTERVAL);
    CHECK(log.lastIndex() - log.firstIndex() < SNAPSHOT_INTERVAL + ENTRIES_KEPT_BEFORE_SNAPSHOT);
}

// Guards against a cluster that tolerates fewer losses after a repair, and against counting a
// member with a lost disk as its old incarnation.
TEST_CASE("a member that lost its disk returns as learner and becomes voter")
{
    const auto loseLeaderNext = GENERATE(true, false);
    auto cluster = SimulatedCluster(3, 5);
    const auto leader = cluster.awaitLeader();
    const auto repaired = otherThan(cluster, leader);
    commitEntries(cluster, 300);
    cluster.loseDisk(repaired);
    CHECK(cluster.member(repaired).node->role() == NodeRole::Learner);
    REQUIRE(cluster.runUntil([&] { return cluster.allIncarnationsAreVoters(); }, 5s));
    // A second member crashes right after the first one was replaced.
    auto second = leader;
    for (const auto &name : cluster.names()) {
        if (!loseLeaderNext && name != leader && name != repaired)
            second = name;
    }
    cluster.crash(second);
    cluster.awaitLeader();
    commitEntries(cluster, 5);
    CHECK(cluster.runUntil([&] { return cluster.converged(); }, 1s));
    cluster.loseDisk(second);
    CHECK(cluster.runUntil([&] { return cluster.allIncarnationsAreVoters(); }, 10s));
}

// Guards against concurrent replacements that block each other.
TEST_CASE("two of five members with lost disks are replaced one at a time")
{
    auto cluster = SimulatedCluster(5, 13);
    const auto leader = cluster.awaitLeader();
    commitEntries(cluster, 100);
    auto lost = 0;
    for (const auto &name : cluster.names()) {
        if (name != leader && lost++ < 2)
            cluster.loseDisk(name);
    }
    CHECK(cluster.runUntil([&] { return cluster.allIncarnationsAreVoters(); }, 5s));
    CHECK(cluster.leader() == leader);
}

// Guards against a configuration change that can't be committed and blocks all others.
TEST_CASE("no member is removed unless a responsive majority remains")
{
    auto cluster = SimulatedCluster(3, 6);
    const auto leader = cluster.awaitLeader();
    commitEntries(cluster, 5);
    const auto lost = otherThan(cluster, leader);
    for (const auto &name : cluster.names()) {
        if (name != leader && name != lost)
            cluster.crash(name);
    }
    cluster.loseDisk(lost);
    cluster.run(20s);
    CHECK(cluster.leader().empty());
    for (const auto &name : {leader, lost})
        CHECK(cluster.member(name).node->entries().configurationIndex() == 0);
    for (const auto &name : cluster.names())
        cluster.restart(name);
    CHECK(cluster.runUntil([&] { return cluster.allIncarnationsAreVoters(); }, 10s));
}

// Guards against proposals that exhaust memory, and against a status without the members.
TEST_CASE("proposals are limited, and the status lists the members")
{
    auto cluster = SimulatedCluster(3, 8, ConsensusSettings{.maxPayloadBytes = 10});
    const auto leader = cluster.awaitLeader();
    auto &node = *cluster.member(leader).node;
    CHECK(node.propose(std::string(11, 'x'), cluster.now).status().code()
          == absl::StatusCode::kInvalidArgument);
    commitEntries(cluster, 1);
    const auto status = node.status(cluster.now);
    CHECK(status.role == NodeRole::Leader);
    CHECK(status.leader == leader);
    CHECK(status.commitIndex == status.lastIndex);
    REQUIRE(status.members.size() == 3);
    for (const auto &member : status.members) {
        CHECK(member.voter);
        CHECK(member.responseAge.value() <= 120ms);
    }
    cluster.isolate(leader);
    auto accepted = 0;
    while (node.propose("x", cluster.now).ok())
        ++accepted;
    CHECK(accepted == 4096);
}

// Guards against heartbeats that repeat a large entry until the routes carry nothing else.
TEST_CASE("an entry that takes longer than a heartbeat to arrive is sent once")
{
    constexpr auto BYTES = std::size_t(300) * 1024;
    auto cluster = SimulatedCluster(5, 15);
    const auto leader = cluster.awaitLeader();
    const auto term = cluster.member(leader).node->term();
    cluster.faults.bytesPerSecond = BYTES * 4;
    auto copies = 0;
    cluster.onSend = [&](const Message &message) {
        const auto *append = std::get_if<AppendRequest>(&message.body);
        copies += append != nullptr && !append->entries.empty() ? 1 : 0;
    };
    REQUIRE(cluster.propose(std::string(BYTES, 'x')));
    CHECK(cluster.runUntil([&] { return cluster.converged() && !cluster.committed.empty(); }, 1s));
    CHECK(copies == 4);
    cluster.run(2s);
    CHECK(cluster.member(leader).node->term() == term);
    CHECK(cluster.leader() == leader);
}

// Guards against a member that waits for ever for a lost request, which heartbeats don't repeat.
TEST_CASE("a lost entry or snapshot chunk is sent again after the next heartbeat")
{
    auto cluster = SimulatedCluster(
        3, 16,
        ConsensusSettings{.maxBytesPerMessage = 64, .snapshotInterval = 8, .entriesKept = 2});
    const auto leader = cluster.awaitLeader();
    const auto names = cluster.names();
    const auto lagging = names.front() == leader ? names.back() : names.front();
    const auto isSnapshot = GENERATE(false, true);
    if (isSnapshot)
        cluster.crash(lagging);
    commitEntries(cluster, isSnapshot ? 40 : 1);
    cluster.restart(lagging);
    const auto loses = [&](const Message &message) {
        const auto *append = std::get_if<AppendRequest>(&message.body);
        const auto *snapshot = std::get_if<SnapshotRequest>(&message.body);
        return message.to.name == lagging
               && ((append != nullptr && !append->entries.empty())
                   || (snapshot != nullptr && !snapshot->chunk.empty()));
    };
    auto lost = 0;
    cluster.onSend = [&](const Message &message) {
        const auto loseThis = loses(message) && lost == 0;
        cluster.faults.lossPercent = loseThis ? 100 : 0;
        lost += loseThis ? 1 : 0;
    };
    if (!isSnapshot)
        commitEntries(cluster, 1);
    CHECK(cluster.runUntil([&] { return lost == 1 && cluster.converged(); },
                           isSnapshot ? 2s : 150ms));
    CHECK(cluster.leader() == leader);
}

} // namespace auburnrail
