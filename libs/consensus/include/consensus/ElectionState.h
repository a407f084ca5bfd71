#ifndef AUBURNRAIL_CONSENSUS_ELECTIONSTATE_H
#define AUBURNRAIL_CONSENSUS_ELECTIONSTATE_H

#include <consensus/MemberId.h>
#include <consensus/Term.h>

#include <optional>

namespace auburnrail {

/// Current term and vote. Must be durable before any message that depends on them is sent.
struct ElectionState
{
    Term term = 0;
    std::optional<MemberId> vote;

    auto operator==(const ElectionState &) const -> bool = default;
};

} // namespace auburnrail

#endif
