#include <control/CommandPipeline.h>

#include <wire/FleetCodec.h>

#include <core/RankedLock.h>

#include <cassert>
#include <optional>

namespace auburnrail {

CommandPipeline::CommandPipeline(CommandPipelineHooks pipelineHooks)
    : hooks(std::move(pipelineHooks))
{
    assert(this->hooks.propose && "hooks.propose must be set");
    assert(this->hooks.whenInForce && "hooks.whenInForce must be set");
}

auto CommandPipeline::submit(const Command &command, Done done) -> void
{
    {
        const RankedLock lock(this->mutex);
        ++this->proposing;
    }
    // Another thread may report the proposal as committed before propose() returns its index.
    const auto index = this->hooks.propose(encodeCommand(command));
    auto ended = std::optional<absl::StatusOr<CommandResult>>();
    {
        const RankedLock lock(this->mutex);
        --this->proposing;
        if (!index.ok()) {
            ended = index.status();
        } else if (const auto found = this->early.find(*index); found != this->early.end()) {
            ended = std::move(found->second);
        } else {
            this->pending.emplace(*index, done);
        }
        if (this->proposing == 0)
            this->early.clear();
    }
    if (ended)
        done(*std::move(ended));
}

auto CommandPipeline::submitAndAwaitInForce(const Command &command, const Done &done) -> void
{
    this->submit(command, [this, done](absl::StatusOr<CommandResult> result) {
        if (!result.ok() || result->status != CommandStatus::Applied) {
            done(std::move(result));
            return;
        }
        this->hooks.whenInForce(result->revision, [done, result](bool inForce) {
            if (inForce)
                done(result);
            else
                done(absl::UnknownError("committed, but leadership ended before it was in force"));
        });
    });
}

auto CommandPipeline::committed(Revision index, const CommandResult &result) -> void
{
    this->finish(index, result);
}

auto CommandPipeline::lost(Revision index) -> void
{
    this->finish(index, absl::UnknownError("leadership ended before the command was committed"));
}

auto CommandPipeline::finish(Revision index, absl::StatusOr<CommandResult> result) -> void
{
    auto done = Done();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->pending.find(index);
        if (found != this->pending.end()) {
            done = std::move(found->second);
            this->pending.erase(found);
        } else if (this->proposing > 0) {
            this->early.insert_or_assign(index, result);
        }
    }
    if (done)
        done(std::move(result));
}

} // namespace auburnrail
