#ifndef AUBURNRAIL_CONTROL_COMMANDPIPELINE_H
#define AUBURNRAIL_CONTROL_COMMANDPIPELINE_H

#include <control/CommandPipelineHooks.h>

#include <state/Command.h>
#include <state/CommandResult.h>

#include <core/RankedMutex.h>
#include <core/Revision.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace auburnrail {

/// Proposes commands to the consensus log and reports to their senders when they are committed and
/// when they are in force. Safe from any thread; callbacks run without the mutex held.
class CommandPipeline
{
public:
    /// Receives the outcome of one command, exactly once. `kUnavailable`: this member does not lead
    /// and the command was not appended. `kUnknown`: leadership ended before its outcome was known;
    /// the sender resends it with the same id.
    using Done = std::function<auto(absl::StatusOr<CommandResult>)->void>;

    explicit CommandPipeline(CommandPipelineHooks pipelineHooks);

    /// Proposes the command and calls `done` when it is committed.
    auto submit(const Command &command, Done done) -> void;

    /// Like submit(), but for an applied command `done` is called only when it is in force at every
    /// entry that holds a lease.
    auto submitAndAwaitInForce(const Command &command, const Done &done) -> void;

    /// Reports that the log entry at `index` was committed and applied with this result.
    auto committed(Revision index, const CommandResult &result) -> void;

    /// Reports that leadership ended before the proposal at `index` was committed; a later leader
    /// may or may not commit it.
    auto lost(Revision index) -> void;

private:
    auto finish(Revision index, absl::StatusOr<CommandResult> result) -> void;

    CommandPipelineHooks hooks;
    RankedMutex mutex{LockRank::CommandPipeline};
    std::map<Revision, Done> pending ABSL_GUARDED_BY(mutex);
    /// Results that arrived before submit() had registered its callback.
    std::map<Revision, absl::StatusOr<CommandResult>> early ABSL_GUARDED_BY(mutex);
    std::size_t proposing ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace auburnrail

#endif
