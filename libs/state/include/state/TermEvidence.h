#ifndef AUBURNRAIL_STATE_TERMEVIDENCE_H
#define AUBURNRAIL_STATE_TERMEVIDENCE_H

#include <state/EndpointProcess.h>

#include <core/Position.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace auburnrail {

/// What the fleet state keeps of a group since its last publication of a primary, for the promotion
/// that replaces this primary, so that no leader and no restart loses it. Who may have confirmed a
/// commit: every endpoint that is registered, other than the primary, and the processes in `ended`.
/// What was acknowledged: `start` and, once all reports are in, `acknowledged`.
struct TermEvidence
{
    /// More ended processes than this aren't kept: the evidence is then incomplete until the next
    /// publication.
    static constexpr auto MAX_ENDED = std::size_t(16);

    /// Term of the publication since which no process is missing; 0: the evidence is incomplete.
    std::uint64_t publishedIn = 0;
    /// End of the primary's log when it was promoted. What earlier terms acknowledged is at or
    /// before it.
    Position start;
    /// Processes that may have confirmed commits and aren't registered any more, or have started
    /// again since.
    std::vector<EndpointProcess> ended;
    /// Number of synchronous replicas when the last fencing began, or higher.
    std::uint32_t synchronousReplicas = 0;
    /// While the group is fenced: the highest position that entries have acknowledged, once known.
    std::optional<Position> acknowledged;
    /// An operator has accepted the loss of what was acknowledged after this position in its term
    /// and earlier ones. Kept in later terms: entries go on reporting what they have acknowledged.
    std::optional<Position> lossAcceptedAfter;

    auto operator==(const TermEvidence &) const -> bool = default;
};

} // namespace auburnrail

#endif
