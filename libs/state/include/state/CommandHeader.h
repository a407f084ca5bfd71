#ifndef AUBURNRAIL_STATE_COMMANDHEADER_H
#define AUBURNRAIL_STATE_COMMANDHEADER_H

#include <core/Revision.h>

#include <optional>
#include <string>

namespace auburnrail {

/// Fields that all commands have.
struct CommandHeader
{
    std::string commandId;     ///< Unique, chosen by the sender; a resend has the same id.
    Revision baseRevision = 0; ///< Revision the sender saw when it made the command.
    std::optional<Revision> expectedRevision; ///< Of the target object; 0: it must not exist.
    std::string operatorName;

    auto operator==(const CommandHeader &) const -> bool = default;
};

} // namespace auburnrail

#endif
