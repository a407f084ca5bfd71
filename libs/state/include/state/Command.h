#ifndef AUBURNRAIL_STATE_COMMAND_H
#define AUBURNRAIL_STATE_COMMAND_H

#include <state/CommandBody.h>
#include <state/CommandHeader.h>

namespace auburnrail {

/// One change of the fleet state, as stored in the consensus log.
struct Command
{
    CommandHeader header;
    CommandBody body;

    auto operator==(const Command &) const -> bool = default;
};

} // namespace auburnrail

#endif
