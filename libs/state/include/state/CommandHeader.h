#ifndef AUBURNRAIL_STATE_COMMANDHEADER_H
#define AUBURNRAIL_STATE_COMMANDHEADER_H

#include <core/Revision.h>

#include <optional>
#include <string>

namespace auburnrail {

/// What every command carries.
struct CommandHeader
{
    std::string commandId;     ///< Chosen by the sender, unique; a resend repeats it.
    Revision baseRevision = 0; ///< Revision the sender saw when it made the command.
    std::optional<Revision> expectedRevision; ///< Of the target object; 0: it must not exist.
    std::string operatorName;

    auto operator==(const CommandHeader &) const -> bool = default;
};

} // namespace auburnrail

#endif
