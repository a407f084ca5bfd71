#ifndef AUBURNRAIL_STATE_GROUP_H
#define AUBURNRAIL_STATE_GROUP_H

#include <state/GroupPhase.h>
#include <state/TermEvidence.h>

#include <core/Labels.h>
#include <core/Revision.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// One replicated database.
struct Group
{
    std::string name;
    std::uint64_t term = 0; ///< 0: no primary was published yet.
    GroupPhase phase = GroupPhase::Serving;
    std::string primary; ///< Endpoint of the last publication; empty when there was none.
    /// Start of the process that was published; see Endpoint::startedAt. 0: not stated.
    std::uint64_t primaryStartedAt = 0;
    /// Whether the group has no primary and nothing shows yet which endpoint may become it.
    bool isAwaitingEvidence = false;
    TermEvidence evidence; ///< For the promotion that replaces the primary.
    Labels labels;
    Revision changedAt = 0; ///< Revision of the last change of this object.

    auto operator==(const Group &) const -> bool = default;
};

} // namespace auburnrail

#endif
