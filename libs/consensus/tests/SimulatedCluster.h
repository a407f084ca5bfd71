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

/// Faults of the simulated network. Percentages refer to the messages sent.
struct NetworkFaults
{
    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    Duration minDelay = std::chrono::milliseconds(4);
    Duration maxDelay =
        std::chrono::milliseconds(4); ///< A maxDelay above minDelay reorders messages.
    /// Payload bytes that a route carries in a second, one message after the other; 0: no limit.
    std::size_t bytesPerSecond = 0;
};

/// Deterministic simulation of a cluster with its network and clock. Each step checks that a term
/// has at most one leader, that committed entries never differ between members, and that at most
/// one member holds the quorum lease. A violation throws std::logic_error.
class SimulatedCluster
{
public:
    SimulatedCluster(std::size_t count, std::uint64_t seed, ConsensusSettings limits = {});

    /// Advances the clock by `length` in steps of 5 ms.
    auto run(Duration length) -> void;

    /// Runs until `done` returns true; returns false if it does not within `limit`.
    auto runUntil(const std::function<auto()->bool> &done, Duration limit) -> bool;

    auto crash(const MemberName &name) -> void;
    auto restart(const MemberName &name) -> void;

    /// Crashes the member and restarts it on an empty disk with a new incarnation.
    auto loseDisk(const MemberName &name) -> void;

    /// Starts a member on an empty disk that no other member has in its settings.
    auto addMember(const MemberName &name) -> void;

    /// Drops all messages from `from` to `to`.
    auto blockOneWay(const MemberName &from, const MemberName &to) -> void;
    auto isolate(const MemberName &name) -> void;

    /// Removes all blocks between members.
    auto heal() -> void;

    /// Name of the member that holds the quorum lease, or an empty name.
    [[nodiscard]] auto leader() const -> MemberName;

    /// Proposes on the leader; returns false if there is none or it refuses.
    auto propose(const std::string &payload) -> bool;

    /// Runs until a leader is elected; throws if there is none within 10 s.
    auto awaitLeader() -> MemberName;

    /// Whether the leader's configuration is committed and contains the current incarnation of
    /// every member.
    [[nodiscard]] auto allIncarnationsAreVoters() const -> bool;

    /// Whether every running member has delivered everything that any member has committed.
    [[nodiscard]] auto converged() const -> bool;

    /// Checks the log matching property: throws if two logs have an entry with the same index and
    /// term, but differ in that entry or in an earlier one.
    auto checkLogMatching() const -> void;

    [[nodiscard]] auto names() const -> std::vector<MemberName>;
    [[nodiscard]] auto member(const MemberName &name) -> SimulatedMember &;

    /// Payloads of all entries committed so far on any member, by index.
    std::map<LogIndex, std::string> committed;
    NetworkFaults faults;
    TimePoint now{};
    std::function<auto(const Message &)->void> onSend; ///< Optional; observes each sent message.

private:
    auto start(SimulatedMember &target) -> void;
    auto send(const Message &message) -> void;
    auto step() -> void;
    auto checkLeaders() -> void;
    auto recordCommitted(SimulatedMember &target, LogIndex index, const std::string &payload)
        -> void;
    auto chance(unsigned percent) -> bool;
    /// When a message sent now has passed the route, and its payload keeps later ones waiting.
    auto passRoute(const Message &message) -> TimePoint;

    ConsensusSettings limits;
    RandomSource random;
    std::map<MemberName, SimulatedMember> members;
    std::multimap<TimePoint, Message> network;
    std::set<std::pair<MemberName, MemberName>> blockedRoutes;
    std::map<std::pair<MemberName, MemberName>, TimePoint> routeFreeAt;
    std::map<Term, MemberId> leaders;
};

} // namespace auburnrail::testing

#endif
