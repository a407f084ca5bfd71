#ifndef AUBURNRAIL_WIRE_COMMANDCONVERSION_H
#define AUBURNRAIL_WIRE_COMMANDCONVERSION_H

#include <state/Command.h>
#include <state/CommandResult.h>
#include <state/RememberedCommand.h>

#include <Fleet_types.h>

namespace auburnrail::detail {

// Domain types to and from generated ones. fromWire() throws DecodeFault.

[[nodiscard]] auto toWire(const Command &command) -> wire::Command;
[[nodiscard]] auto fromWire(wire::Command &&command) -> Command;

[[nodiscard]] auto toWire(const CommandResult &result) -> wire::CommandResult;
[[nodiscard]] auto fromWire(wire::CommandResult &&result) -> CommandResult;

[[nodiscard]] auto toWire(const RememberedCommand &row) -> wire::RememberedCommand;
[[nodiscard]] auto fromWire(wire::RememberedCommand &&row) -> RememberedCommand;

} // namespace auburnrail::detail

#endif
