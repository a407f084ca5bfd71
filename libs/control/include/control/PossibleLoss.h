#ifndef AUBURNRAIL_CONTROL_POSSIBLELOSS_H
#define AUBURNRAIL_CONTROL_POSSIBLELOSS_H

#include <failover/PromotionEvidence.h>

#include <core/Position.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnrail {

/// What may be lost if an endpoint is promoted that was fenced at `after`.
struct PossibleLoss
{
    Position after;
    std::optional<Position> upTo; ///< Nothing: it isn't known how far commits were acknowledged.
    Position atLeast;             ///< Commits up to this have been acknowledged.

    /// Entries that the endpoint lacks; nothing if the acknowledged position isn't known, or is one
    /// of another term.
    [[nodiscard]] auto entries() const -> std::optional<std::uint64_t>;

    /// For people, such as "commits after 1.506 up to 1.513".
    [[nodiscard]] auto toText() const -> std::string;
};

[[nodiscard]] auto possibleLoss(const PromotionEvidence &evidence, Position after) -> PossibleLoss;

} // namespace auburnrail

#endif
