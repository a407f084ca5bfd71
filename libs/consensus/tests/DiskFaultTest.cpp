#include "CommitEntries.h"
#include "SimulatedCluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace auburnrail {

using namespace std::chrono_literals;
using testing::commitEntries;
using testing::DiskFault;
using testing::SimulatedCluster;

namespace {

auto othersThan(const SimulatedCluster &cluster, const MemberName &name) -> std::vector<MemberName>
{
    auto names = cluster.names();
    std::erase(names, name);
    return names;
}

} // namespace

// Guards against a member that ends or stays leader when its disk takes no more bytes.
TEST_CASE("a leader with a blocked disk steps down, and the group goes on")
{
    const auto fault = GENERATE(DiskFault::Full, DiskFault::Stalled);
    auto cluster = SimulatedCluster(3, 7);
    const auto old = cluster.awaitLeader();
    auto &blocked = cluster.member(old);
    blocked.diskFault = fault;
    REQUIRE(cluster.propose("x"));
    REQUIRE(cluster.runUntil([&] { return blocked.node->role() != NodeRole::Leader; }, 1200ms));
    CHECK(cluster.committed.size() == 1);
    CHECK_FALSE(blocked.announcedLeader);
    CHECK(blocked.node->status(cluster.now).diskBlocked);
    REQUIRE(cluster.runUntil([&] { return !cluster.leader().empty(); }, 2s));
    CHECK(cluster.leader() != old);
    commitEntries(cluster, 2);
    cluster.run(30s);
    CHECK(cluster.leader() != old);
    blocked.diskFault = DiskFault::None;
    CHECK(cluster.runUntil([&] { return cluster.converged(); }, 1s));
    for (const auto &name : othersThan(cluster, old))
        cluster.crash(name);
    cluster.restart(othersThan(cluster, old).front());
    cluster.awaitLeader();
    commitEntries(cluster, 1);
}

// Guards against an acknowledgement by a member that has nothing on its disk.
TEST_CASE("a follower with a blocked disk acknowledges no entry and no vote")
{
    const auto fault = GENERATE(DiskFault::Full, DiskFault::Stalled);
    auto cluster = SimulatedCluster(3, 8);
    const auto leader = cluster.awaitLeader();
    const auto others = othersThan(cluster, leader);
    cluster.crash(others.front());
    cluster.member(others.back()).diskFault = fault;
    REQUIRE(cluster.propose("unconfirmed"));
    cluster.run(10s);
    CHECK(cluster.committed.empty());
    // Leases of the entries depend on this leader; another one could commit no more.
    CHECK(cluster.leader() == leader);
    cluster.crash(leader);
    cluster.restart(others.front());
    cluster.run(10s);
    CHECK(cluster.leader().empty());
    cluster.member(others.back()).diskFault = DiskFault::None;
    cluster.awaitLeader();
    commitEntries(cluster, 1);
}

// Guards against an outage of the leases while no member can write.
TEST_CASE("the leader stays when all disks are blocked, and commits when they work again")
{
    const auto fault = GENERATE(DiskFault::Full, DiskFault::Stalled);
    auto cluster = SimulatedCluster(3, 9);
    const auto leader = cluster.awaitLeader();
    for (const auto &name : cluster.names())
        cluster.member(name).diskFault = fault;
    REQUIRE(cluster.propose("waiting"));
    for (auto round = 0; round < 100; ++round) {
        cluster.run(100ms);
        REQUIRE(cluster.leader() == leader);
    }
    CHECK(cluster.committed.empty());
    for (const auto &name : cluster.names())
        cluster.member(name).diskFault = DiskFault::None;
    CHECK(cluster.runUntil([&] { return cluster.committed.size() == 1; }, 500ms));
}

// Guards against elections that a slow disk causes.
TEST_CASE("slow disks don't change the leader")
{
    auto cluster = SimulatedCluster(3, 10);
    const auto leader = cluster.awaitLeader();
    const auto term = cluster.member(leader).node->term();
    for (const auto &name : cluster.names())
        cluster.member(name).writeTime = 700ms;
    for (auto round = 0; round < 600; ++round) {
        cluster.propose("p" + std::to_string(round) + ";");
        cluster.run(50ms);
        REQUIRE(cluster.leader() == leader);
    }
    CHECK(cluster.member(leader).node->term() == term);
    CHECK(cluster.runUntil([&] { return cluster.committed.size() == 600; }, 3s));
}

// Guards against a leader that changes each time that its disk stalls.
TEST_CASE("a disk that stalls again and again costs the leadership once")
{
    auto cluster = SimulatedCluster(3, 11);
    const auto old = cluster.awaitLeader();
    for (auto round = 0; round < 10; ++round) {
        cluster.member(old).diskFault = DiskFault::Stalled;
        cluster.propose("p" + std::to_string(round) + ";");
        cluster.run(1500ms);
        cluster.member(old).diskFault = DiskFault::None;
        cluster.run(1500ms);
        REQUIRE(cluster.leader() != old);
    }
    CHECK(cluster.member(cluster.leader()).node->term() == 2);
}

// Guards against a second vote in a term after a crash in the middle of writing the first.
TEST_CASE("a vote is sent only after it is durable")
{
    auto cluster = SimulatedCluster(3, 12);
    cluster.crash("m1");
    cluster.crash("m3");
    auto grants = 0;
    cluster.onSend = [&](const Message &message) {
        const auto *response = std::get_if<VoteResponse>(&message.body);
        grants += response != nullptr && response->granted ? 1 : 0;
    };
    cluster.run(600ms);
    auto &voter = cluster.member("m2");
    voter.diskFault = DiskFault::Stalled;
    voter.receive({{"m1", 0}, {"m2", 0}, 5, VoteRequest{false, 9, 4}}, cluster.now);
    CHECK(grants == 0);
    voter.crash(0);
    voter.diskFault = DiskFault::None;
    cluster.restart("m2");
    cluster.run(600ms);
    voter.receive({{"m3", 0}, {"m2", 0}, 5, VoteRequest{false, 9, 4}}, cluster.now);
    CHECK(grants == 1);
}

// Guards against a log that outgrows the disk, when its entries are large.
TEST_CASE("large entries are compacted before the log exceeds its limit")
{
    constexpr auto LIMIT = std::size_t(100) * 1024;
    auto cluster = SimulatedCluster(3, 13, ConsensusSettings{.maxLogBytes = LIMIT});
    cluster.awaitLeader();
    for (auto number = 0; number < 200; ++number) {
        REQUIRE(cluster.propose(std::string(4096, 'x')));
        cluster.run(20ms);
        for (const auto &name : cluster.names()) {
            auto bytes = std::size_t(0);
            for (const auto &entry : cluster.member(name).disk.entries)
                bytes += entry.payload.size();
            REQUIRE(bytes <= LIMIT);
        }
    }
    CHECK(cluster.runUntil([&] { return cluster.converged(); }, 1s));
}

// Guards against a member that votes by a log that ends before its snapshot.
TEST_CASE("a crash while a snapshot is written leaves no log that ends before it")
{
    const auto parts = GENERATE(range(std::size_t(0), std::size_t(10)));
    auto cluster =
        SimulatedCluster(3, 14, ConsensusSettings{.snapshotInterval = 8, .entriesKept = 16});
    for (const auto *other : {"m1", "m3"})
        cluster.crash(other);
    auto &slow = cluster.member("m2");
    slow.diskFault = DiskFault::Stalled;
    const auto append = [&](std::size_t count) {
        slow.receive(
            {{"m1", 0},
             {"m2", 0},
             5,
             AppendRequest{.commitIndex = count,
                           .entries = std::vector<LogEntry>(
                               count, {.term = 5, .kind = EntryKind::Command, .payload = "x"})}},
            cluster.now);
        cluster.run(20ms);
    };
    // The entries arrive while the term is written, and a snapshot covers them before they are.
    append(0);
    append(12);
    slow.writeTime = 100ms;
    slow.diskFault = DiskFault::None;
    REQUIRE(cluster.runUntil([&] { return slow.batch && slow.batch->snapshot; }, 200ms));
    slow.crash(parts);
    const auto &disk = slow.disk;
    CHECK(
        (disk.entries.empty() || disk.firstIndex + disk.entries.size() - 1 >= disk.snapshot.index));
}

} // namespace auburnrail
