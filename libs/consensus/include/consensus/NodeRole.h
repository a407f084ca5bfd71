#ifndef AUBURNRAIL_CONSENSUS_NODEROLE_H
#define AUBURNRAIL_CONSENSUS_NODEROLE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What a member does at the moment.
enum class NodeRole : std::uint8_t {
    Learner, ///< Not a voter of its own configuration; it receives entries.
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    Failed, ///< A write to its disk failed; it does nothing until it is restarted.
};

template <>
inline constexpr auto ENUM_NAMES<NodeRole> = std::to_array<EnumName<NodeRole>>({
    {NodeRole::Learner, "learner"},
    {NodeRole::Follower, "follower"},
    {NodeRole::PreCandidate, "pre-candidate"},
    {NodeRole::Candidate, "candidate"},
    {NodeRole::Leader, "leader"},
    {NodeRole::Failed, "failed"},
});

} // namespace auburnrail

#endif
