#ifndef AUBURNRAIL_STATE_OBJECTRULES_H
#define AUBURNRAIL_STATE_OBJECTRULES_H

#include <state/CommandResult.h>
#include <state/FleetObjects.h>

#include <optional>

namespace auburnrail::detail {

/// The refusal when an object may not be set, or nothing. Checks limits and the objects it refers
/// to.
[[nodiscard]] auto checkObject(const FleetObjects &objects, const FleetObject &proposed)
    -> std::optional<CommandResult>;

/// The object to store when `proposed` is set over `existing` (see SetObject).
[[nodiscard]] auto mergeObject(FleetObject proposed, const std::optional<FleetObject> &existing)
    -> FleetObject;

/// The refusal when an object may not be deleted, or nothing.
[[nodiscard]] auto checkDeletion(const FleetObjects &objects, const FleetObject &object)
    -> std::optional<CommandResult>;

/// The refusal when labels are over their limits, or nothing.
[[nodiscard]] auto checkLabels(const Labels &labels) -> std::optional<CommandResult>;

/// A result that changes nothing.
[[nodiscard]] auto refuseCommand(CommandStatus status, std::string message) -> CommandResult;

} // namespace auburnrail::detail

#endif
