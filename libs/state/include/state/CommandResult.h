#ifndef AUBURNRAIL_STATE_COMMANDRESULT_H
#define AUBURNRAIL_STATE_COMMANDRESULT_H

#include <state/CommandStatus.h>

#include <core/Revision.h>

#include <optional>
#include <string>

namespace auburnrail {

/// Result of a command; a resent command gets the same one.
struct CommandResult
{
    CommandStatus status = CommandStatus::Invalid;
    std::string message;   ///< For people; empty when applied.
    Revision revision = 0; ///< Applied: of this command. Conflict: of the winning command.
    std::optional<std::string> winningCommandId; ///< Conflict: the command that came first.

    auto operator==(const CommandResult &) const -> bool = default;
};

} // namespace auburnrail

#endif
