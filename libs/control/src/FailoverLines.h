#ifndef AUBURNRAIL_CONTROL_FAILOVERLINES_H
#define AUBURNRAIL_CONTROL_FAILOVERLINES_H

#include <control/EndpointRoleStatus.h>
#include <control/PromotionOutcome.h>

#include <daemon/Logging.h>
#include <failover/FailoverRecord.h>
#include <failover/GroupEndpoint.h>
#include <failover/PromotionEvidence.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnrail::detail {

/// TERM.INDEX
[[nodiscard]] auto positionText(const Position &position) -> std::string;

[[nodiscard]] auto promotionFields(const PromotionEvidence &evidence) -> LogFields;

/// Logs what a promotion relies on, with a warning when the endpoint lacks a part of what is known
/// to be acknowledged.
auto logPromotion(const PromotionEvidence &evidence) -> void;

/// Logs the outcome of a promotion. `status` is what the endpoint said last, if anything.
auto logPromotionOutcome(PromotionOutcome outcome, const GroupEndpoint &endpoint,
                         const std::string &group, std::uint64_t term,
                         const std::optional<EndpointRoleStatus> &status) -> void;

auto logFailover(const FailoverRecord &record) -> void;

} // namespace auburnrail::detail

#endif
