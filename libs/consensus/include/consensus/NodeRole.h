#ifndef AUBURNRAIL_CONSENSUS_NODEROLE_H
#define AUBURNRAIL_CONSENSUS_NODEROLE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Current role of a member.
enum class NodeRole : std::uint8_t {
    Learner, ///< Receives entries but is not a voter of its own configuration.
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

template <>
inline constexpr auto ENUM_NAMES<NodeRole> = std::to_array<EnumName<NodeRole>>({
    {NodeRole::Learner, "learner"},
    {NodeRole::Follower, "follower"},
    {NodeRole::PreCandidate, "pre-candidate"},
    {NodeRole::Candidate, "candidate"},
    {NodeRole::Leader, "leader"},
});

} // namespace auburnrail

#endif
