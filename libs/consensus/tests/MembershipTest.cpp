#include "CommitEntries.h"
#include "SimulatedCluster.h"

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;
using testing::commitEntries;
using testing::SimulatedCluster;

// Guards against a cluster that stays one member short after one was replaced at another address,
// so that the next lost disk stops it.
TEST_CASE("a member at a new address takes the place of one that is gone")
{
    auto cluster =
        SimulatedCluster(3, 11, ConsensusSettings{.admitsNewMembers = true, .voters = 3});
    const auto leader = cluster.awaitLeader();
    commitEntries(cluster, 5);
    const auto gone = leader == "m1" ? "m2" : "m1";
    cluster.crash(gone);
    cluster.addMember("m4");
    const auto isVoter = [&](const MemberName &name) {
        const auto current = cluster.leader();
        return !current.empty()
               && cluster.member(current).node->entries().configuration().find(name) != nullptr;
    };
    REQUIRE(cluster.runUntil([&] { return isVoter("m4") && !isVoter(gone); }, 10s));
    commitEntries(cluster, 2);

    // The one that was taken for gone returns: it is a spare member and disturbs no one.
    const auto settled = cluster.awaitLeader();
    cluster.restart(gone);
    cluster.run(5s);
    CHECK(cluster.leader() == settled);
    CHECK_FALSE(isVoter(gone));
    CHECK(cluster.member(gone).handedOver == cluster.member(settled).handedOver);

    // It steps in for the next one that is lost.
    const auto other = settled == "m4" ? "m2" : "m4";
    cluster.crash(other == gone ? "m3" : other);
    REQUIRE(cluster.runUntil([&] { return isVoter(gone); }, 10s));
    commitEntries(cluster, 2);
}

TEST_CASE("members beyond the number of voters stay spare while all voters answer")
{
    auto cluster =
        SimulatedCluster(3, 12, ConsensusSettings{.admitsNewMembers = true, .voters = 3});
    cluster.awaitLeader();
    cluster.addMember("m4");
    cluster.run(10s);
    const auto leader = cluster.awaitLeader();
    CHECK(cluster.member(leader).node->entries().configuration().voters.size() == 3);
    CHECK(cluster.member(leader).node->entries().configuration().find("m4") == nullptr);
    commitEntries(cluster, 3);
    CHECK(cluster.runUntil([&] { return cluster.converged(); }, 5s));
}

TEST_CASE("the cluster grows to its number of voters")
{
    auto cluster =
        SimulatedCluster(3, 13, ConsensusSettings{.admitsNewMembers = true, .voters = 5});
    cluster.awaitLeader();
    for (const auto *name : {"m4", "m5", "m6"})
        cluster.addMember(name);
    REQUIRE(cluster.runUntil(
        [&] {
            const auto leader = cluster.leader();
            return !leader.empty()
                   && cluster.member(leader).node->entries().configuration().voters.size() == 5;
        },
        10s));
    cluster.run(5s);
    const auto leader = cluster.awaitLeader();
    CHECK(cluster.member(leader).node->entries().configuration().voters.size() == 5);
}

} // namespace auburnrail
