#include "SimulatedCluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace auburnrail {

using namespace std::chrono_literals;
using testing::SimulatedCluster;

namespace {

/// Proposes `count` entries and waits until the leader committed them.
auto commitEntries(SimulatedCluster &cluster, std::size_t count) -> void
{
    const auto before = cluster.committed.size();
    for (auto number = std::size_t(0); number < count; ++number) {
        REQUIRE(cluster.propose("e" + std::to_string(before + number) + ";"));
        if (number % 50 == 0)
            cluster.run(5ms);
    }
    REQUIRE(cluster.runUntil([&] { return cluster.committed.size() == before + count; }, 10s));
}

auto otherThan(const SimulatedCluster &cluster, const MemberName &name) -> MemberName
{
    const auto names = cluster.names();
    return *std::find_if(names.begin(), names.end(), [&](const auto &x) { return x != name; });
}

} // namespace

// Guards against an isolated leader that goes on granting leases, or keeps callers waiting.
TEST_CASE("an isolated leader steps down and its proposals are reported as lost")
{
    auto cluster = SimulatedCluster(3, 1);
    const auto old = cluster.awaitLeader();
    cluster.isolate(old);
    REQUIRE(cluster.propose("unconfirmed"));
    cluster.run(520ms);
    CHECK(cluster.member(old).node->role() == NodeRole::Follower);
    CHECK_FALSE(cluster.member(old).announcedLeader);
    CHECK(cluster.member(old).lost.size() == 1);
    CHECK_FALSE(cluster.member(old).node->propose("late", cluster.now).ok());
    CHECK(cluster.awaitLeader() != old);
    commitEntries(cluster, 3);
    cluster.heal();
    CHECK(cluster.runUntil([&] { return cluster.converged(); }, 2s));
    CHECK(cluster.committed.size() == 3);
}

// Guards against a leader with a one-way fault that keeps its followers from electing another.
TEST_CASE("a leader that can send but not receive is replaced")
{
    auto cluster = SimulatedCluster(3, 2);
    const auto old = cluster.awaitLeader();
    for (const auto &name : cluster.names())
        cluster.cut(name, old);
    CHECK(
        cluster.runUntil([&] { return !cluster.leader().empty() && cluster.leader() != old; }, 5s));
}

// Guards against a member that was cut off for long and deposes a working leader when it returns.
TEST_CASE("a long silent partition of a follower does not disturb the leader")
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

// Guards against a restarted member that stays behind, by log and by snapshot.
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

// Guards against a repaired cluster that is less fault-tolerant than before, and against a member
// with a lost disk that is counted as its former self.
TEST_CASE("a member whose disk was lost returns as learner, then as voter")
{
    const auto loseLeaderNext = GENERATE(true, false);
    auto cluster = SimulatedCluster(3, 5);
    const auto leader = cluster.awaitLeader();
    const auto repaired = otherThan(cluster, leader);
    commitEntries(cluster, 300);
    cluster.loseDisk(repaired);
    CHECK(cluster.member(repaired).node->role() == NodeRole::Learner);
    REQUIRE(cluster.runUntil([&] { return cluster.allDisksAreVoters(); }, 5s));
    // A second member is lost right after the repair.
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
    CHECK(cluster.runUntil([&] { return cluster.allDisksAreVoters(); }, 10s));
}

// Guards against a change of members that can't be committed and blocks all others.
TEST_CASE("no member is removed while a majority would not remain")
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
    CHECK(cluster.runUntil([&] { return cluster.allDisksAreVoters(); }, 10s));
}

// Guards against answers that follow from state which is not on disk.
TEST_CASE("a member whose disk fails does nothing any more")
{
    auto cluster = SimulatedCluster(3, 7);
    const auto old = cluster.awaitLeader();
    cluster.member(old).diskFault = absl::DataLossError("disk");
    CHECK(cluster.member(old).node->propose("x", cluster.now).status().code()
          == absl::StatusCode::kInternal);
    CHECK(cluster.member(old).node->role() == NodeRole::Failed);
    CHECK_FALSE(cluster.member(old).announcedLeader);
    CHECK(cluster.awaitLeader() != old);
    commitEntries(cluster, 2);
}

// Guards against limits that let a caller exhaust memory, and an unclear status for operators.
TEST_CASE("proposals are limited, and the status names the members")
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
        CHECK(member.answerAge.value() <= 120ms);
    }
    cluster.isolate(leader);
    auto accepted = 0;
    while (node.propose("x", cluster.now).ok())
        ++accepted;
    CHECK(accepted == 4096);
}

} // namespace auburnrail
