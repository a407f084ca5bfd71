#ifndef AUBURNRAIL_CONTROL_COMMANDPIPELINEHOOKS_H
#define AUBURNRAIL_CONTROL_COMMANDPIPELINEHOOKS_H

#include <core/Revision.h>

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace auburnrail {

/// What a CommandPipeline needs from the consensus log and the lease table.
struct CommandPipelineHooks
{
    /// Appends a payload to the log and returns its index; an error when this member does not lead.
    std::function<auto(std::string payload)->absl::StatusOr<Revision>> propose;

    /// Calls `callback` with true when the revision is in force everywhere, or with false when
    /// leadership ends before that is known.
    std::function<auto(Revision revision, std::function<auto(bool inForce)->void> callback)->void>
        whenInForce;
};

} // namespace auburnrail

#endif
