#ifndef AUBURNRAIL_CONSENSUS_ELECTIONSTATE_H
#define AUBURNRAIL_CONSENSUS_ELECTIONSTATE_H

#include <consensus/MemberId.h>
#include <consensus/Term.h>

#include <optional>

namespace auburnrail {

/// Current term and vote; must be durable before any message that follows from them is sent.
struct ElectionState
{
    Term term = 0;
    std::optional<MemberId> vote;

    auto operator==(const ElectionState &) const -> bool = default;
};

} // namespace auburnrail

#endif
