#include <control/FleetStore.h>

#include <wire/FleetCodec.h>

#include <core/RankedLock.h>

namespace auburnrail {

auto FleetStore::apply(Revision index, const std::string &payload) -> CommandResult
{
    const auto command = decodeCommand(payload);
    if (!command.ok()) {
        return CommandResult{.status = CommandStatus::Invalid,
                             .message = std::string(command.status().message())};
    }
    const RankedLock lock(this->mutex);
    return applyCommand(this->state, *command, index);
}

auto FleetStore::install(const std::string &snapshot) -> absl::Status
{
    const auto decoded = decodeSnapshot(snapshot);
    if (!decoded.ok())
        return decoded.status();
    const RankedLock lock(this->mutex);
    this->state = FleetState::restore(*decoded);
    return absl::OkStatus();
}

auto FleetStore::encodedSnapshot() const -> std::string
{
    auto snapshot = FleetSnapshot();
    {
        const RankedLock lock(this->mutex);
        snapshot = this->state.snapshot();
    }
    return encodeSnapshot(snapshot);
}

auto FleetStore::revision() const -> Revision
{
    const RankedLock lock(this->mutex);
    return this->state.revision();
}

auto FleetStore::objects() const -> FleetObjects
{
    const RankedLock lock(this->mutex);
    return this->state.objects();
}

auto FleetStore::rememberedResult(const std::string &commandId) const
    -> std::optional<CommandResult>
{
    const RankedLock lock(this->mutex);
    const auto *row = this->state.memory().find(commandId);
    return row == nullptr ? std::nullopt : std::optional(row->result);
}

auto FleetStore::read(const std::function<auto(const FleetState &)->void> &reader) const -> void
{
    const RankedLock lock(this->mutex);
    reader(this->state);
}

} // namespace auburnrail
