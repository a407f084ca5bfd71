#ifndef AUBURNRAIL_STATE_REMEMBEREDCOMMAND_H
#define AUBURNRAIL_STATE_REMEMBEREDCOMMAND_H

#include <state/CommandResult.h>
#include <state/ObjectKind.h>

#include <core/Revision.h>

#include <string>

namespace auburnrail {

/// Row of the command memory.
struct RememberedCommand
{
    std::string commandId;
    Revision revision = 0;                 ///< Log index of the command.
    ObjectKind kind = ObjectKind::Service; ///< Of the target.
    std::string name;
    CommandResult result;

    auto operator==(const RememberedCommand &) const -> bool = default;
};

} // namespace auburnrail

#endif
