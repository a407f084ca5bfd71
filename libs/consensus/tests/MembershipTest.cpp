#include "CommitEntries.h"
#include "SimulatedCluster.h"

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;
using testing::commitEntries;
using testing::SimulatedCluster;

// Guards against a cluster that stays one voter short after a crashed member was replaced by one at
// another address: the next lost disk would stop it.
TEST_CASE("a member at a new address replaces a crashed voter")
{
    auto cluster =
        SimulatedCluster(3, 11, ConsensusSettings{.admitsNewMembers = true, .voters = 3});
    const auto leader = cluster.awaitLeader();
    commitEntries(cluster, 5);
    const auto crashed = leader == "m1" ? "m2" : "m1";
    cluster.crash(crashed);
    cluster.addMember("m4");
    const auto isVoter = [&](const MemberName &name) {
        const auto current = cluster.leader();
        return !current.empty()
               && cluster.member(current).node->entries().configuration().find(name) != nullptr;
    };
    REQUIRE(cluster.runUntil([&] { return isVoter("m4") && !isVoter(crashed); }, 10s));
    commitEntries(cluster, 2);

    // The replaced member returns. It becomes a learner and does not disturb the leader.
    const auto stableLeader = cluster.awaitLeader();
    cluster.restart(crashed);
    cluster.run(5s);
    CHECK(cluster.leader() == stableLeader);
    CHECK_FALSE(isVoter(crashed));
    CHECK(cluster.member(crashed).deliveredIndex == cluster.member(stableLeader).deliveredIndex);

    // The learner replaces the next voter that crashes.
    const auto other = stableLeader == "m4" ? "m2" : "m4";
    cluster.crash(other == crashed ? "m3" : other);
    REQUIRE(cluster.runUntil([&] { return isVoter(crashed); }, 10s));
    commitEntries(cluster, 2);
}

TEST_CASE("members beyond the number of voters stay learners while all voters respond")
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

TEST_CASE("the cluster grows to the configured number of voters")
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
