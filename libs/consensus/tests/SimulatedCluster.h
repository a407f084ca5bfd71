#ifndef AUBURNRAIL_CONSENSUS_TESTS_SIMULATEDCLUSTER_H
#define AUBURNRAIL_CONSENSUS_TESTS_SIMULATEDCLUSTER_H

#include "SimulatedMember.h"

#include <consensus/ConsensusNode.h>

#include <core/RandomSource.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace auburnrail::testing {

/// Faults of the simulated network, in percent of the messages.
struct NetworkFaults
{
    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    Duration minDelay = std::chrono::milliseconds(4);
    Duration maxDelay = std::chrono::milliseconds(4); ///< Unequal delays reorder messages.
};

/// Members, network and time of one deterministic run. Every step checks that a term has one
/// leader, that committed entries never differ, and that at most one member has the quorum lease. A
/// broken rule throws std::logic_error.
class SimulatedCluster
{
public:
    SimulatedCluster(std::size_t count, std::uint64_t seed, ConsensusSettings limits = {});

    /// Moves time by `length` in steps of 5 ms.
    auto run(Duration length) -> void;

    /// Runs until `done` holds; false when it does not within `limit`.
    auto runUntil(const std::function<auto()->bool> &done, Duration limit) -> bool;

    auto crash(const MemberName &name) -> void;
    auto restart(const MemberName &name) -> void;

    /// Crashes the member and starts it on an empty disk with a new incarnation.
    auto loseDisk(const MemberName &name) -> void;

    /// Starts a member that is in nobody's settings, on an empty disk.
    auto addMember(const MemberName &name) -> void;
    auto cut(const MemberName &from, const MemberName &to) -> void;
    auto isolate(const MemberName &name) -> void;
    auto heal() -> void;

    /// The member with the quorum lease, or an empty name.
    [[nodiscard]] auto leader() const -> MemberName;

    /// Proposes on the leader, if there is one.
    auto propose(const std::string &payload) -> bool;

    /// Runs until a leader exists; throws when none does within 10 s.
    auto awaitLeader() -> MemberName;

    /// Whether the leader's committed configuration holds the present incarnation of every member.
    [[nodiscard]] auto allDisksAreVoters() const -> bool;

    /// Whether all running members handed over everything that was committed anywhere.
    [[nodiscard]] auto converged() const -> bool;

    /// Throws when two logs hold equal (index, term) with different entries there or before.
    auto checkLogMatching() const -> void;

    [[nodiscard]] auto names() const -> std::vector<MemberName>;
    [[nodiscard]] auto member(const MemberName &name) -> SimulatedMember &;

    /// Everything committed so far on any member, by index.
    std::map<LogIndex, std::string> committed;
    NetworkFaults faults;
    TimePoint now{};
    std::function<auto(const Message &)->void> onSend; ///< Optional observer.

private:
    auto start(SimulatedMember &target) -> void;
    auto send(const Message &message) -> void;
    auto step() -> void;
    auto checkLeaders() -> void;
    auto recordCommitted(SimulatedMember &target, LogIndex index, const std::string &payload)
        -> void;
    auto chance(unsigned percent) -> bool;

    ConsensusSettings limits;
    RandomSource random;
    std::map<MemberName, SimulatedMember> members;
    std::multimap<TimePoint, Message> network;
    std::set<std::pair<MemberName, MemberName>> cutLinks;
    std::map<Term, MemberId> leaders;
};

} // namespace auburnrail::testing

#endif
