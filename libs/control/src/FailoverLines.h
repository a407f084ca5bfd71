#ifndef AUBURNRAIL_CONTROL_FAILOVERLINES_H
#define AUBURNRAIL_CONTROL_FAILOVERLINES_H

#include <control/EndpointRoleStatus.h>
#include <control/PromotionOutcome.h>

#include <daemon/Logging.h>
#include <failover/EvidenceWait.h>
#include <failover/FailoverRecord.h>
#include <failover/GroupEndpoint.h>
#include <failover/PromotionEvidence.h>
#include <http/JsonWriter.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnrail::detail {

/// The acknowledged position, or "unknown".
[[nodiscard]] auto acknowledgedText(const PromotionEvidence &evidence) -> std::string;

/// Members `acknowledged` and, if that isn't known, why, and how far it reaches at least.
auto writeAcknowledged(const PromotionEvidence &evidence, JsonWriter &writer) -> void;

[[nodiscard]] auto promotionFields(const PromotionEvidence &evidence) -> LogFields;

/// Logs what a promotion relies on, with a warning when an operator accepted that the endpoint
/// lacks a part of what is known to be acknowledged, and an error when nobody did.
auto logPromotion(const PromotionEvidence &evidence) -> void;

[[nodiscard]] auto evidenceWaitFields(const EvidenceWait &wait) -> LogFields;

/// Logs a wait for evidence at one of its stages.
auto logEvidenceWait(const EvidenceWait &wait) -> void;

/// Logs the outcome of a promotion. `status` is what the endpoint said last, if anything.
auto logPromotionOutcome(PromotionOutcome outcome, const GroupEndpoint &endpoint,
                         const std::string &group, std::uint64_t term,
                         const std::optional<EndpointRoleStatus> &status) -> void;

auto logFailover(const FailoverRecord &record) -> void;

} // namespace auburnrail::detail

#endif
