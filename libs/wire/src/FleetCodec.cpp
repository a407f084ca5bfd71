#include <wire/FleetCodec.h>

#include "CommandConversion.h"
#include "CompactReader.h"
#include "CompactWriter.h"
#include "FleetConversion.h"

namespace auburnrail {

namespace {

template <typename T>
auto encodeOne(const T &value) -> std::string
{
    auto writer = detail::CompactWriter();
    writer.write(detail::toWire(value));
    return writer.bytes();
}

/// Reads `count` structs of the generated type `Wire`. The result grows with what was read; a count
/// beyond the bytes ends in a fault.
template <typename Wire, typename T>
auto readSequence(detail::CompactReader &reader, std::int32_t count, std::vector<T> &result) -> void
{
    if (count < 0)
        throw detail::DecodeFault("a count is negative");
    for (auto index = std::int32_t(0); index < count; ++index)
        result.push_back(detail::fromWire(reader.read<Wire>()));
}

} // namespace

auto encodeCommand(const Command &command) -> std::string
{
    return encodeOne(command);
}

auto decodeCommand(const std::string &bytes) -> absl::StatusOr<Command>
{
    return detail::decodeBytes("command", bytes, [](auto &reader) -> Command {
        return detail::fromWire(reader.template read<wire::Command>());
    });
}

auto encodeCommandResult(const CommandResult &result) -> std::string
{
    return encodeOne(result);
}

auto decodeCommandResult(const std::string &bytes) -> absl::StatusOr<CommandResult>
{
    return detail::decodeBytes("command result", bytes, [](auto &reader) -> CommandResult {
        return detail::fromWire(reader.template read<wire::CommandResult>());
    });
}

auto encodeChanges(const FleetUpdate &update) -> std::string
{
    auto header = wire::FleetUpdateHeader();
    header.baseRevision = static_cast<std::int64_t>(update.baseRevision);
    header.revision = static_cast<std::int64_t>(update.revision);
    header.changes = static_cast<std::int32_t>(update.changes.size());
    auto writer = detail::CompactWriter();
    writer.write(header);
    for (const auto &change : update.changes)
        writer.write(detail::toWire(change));
    return writer.bytes();
}

auto decodeChanges(const std::string &bytes) -> absl::StatusOr<FleetUpdate>
{
    return detail::decodeBytes("update", bytes, [](auto &reader) -> FleetUpdate {
        const auto header = reader.template read<wire::FleetUpdateHeader>();
        auto update = FleetUpdate{.baseRevision = static_cast<Revision>(header.baseRevision),
                                  .revision = static_cast<Revision>(header.revision)};
        readSequence<wire::FleetChange>(reader, header.changes, update.changes);
        return update;
    });
}

auto encodeSnapshot(const FleetSnapshot &snapshot) -> std::string
{
    auto header = wire::FleetSnapshotHeader();
    header.revision = static_cast<std::int64_t>(snapshot.revision);
    header.forgottenRevision = static_cast<std::int64_t>(snapshot.forgottenRevision);
    header.fleetObjects = static_cast<std::int32_t>(snapshot.objects.size());
    header.commands = static_cast<std::int32_t>(snapshot.commands.size());
    auto writer = detail::CompactWriter();
    writer.write(header);
    for (const auto &object : snapshot.objects)
        writer.write(detail::toWire(object));
    for (const auto &row : snapshot.commands)
        writer.write(detail::toWire(row));
    return writer.bytes();
}

auto decodeSnapshot(const std::string &bytes) -> absl::StatusOr<FleetSnapshot>
{
    return detail::decodeBytes("snapshot", bytes, [](auto &reader) -> FleetSnapshot {
        const auto header = reader.template read<wire::FleetSnapshotHeader>();
        auto snapshot =
            FleetSnapshot{.revision = static_cast<Revision>(header.revision),
                          .forgottenRevision = static_cast<Revision>(header.forgottenRevision)};
        readSequence<wire::FleetObject>(reader, header.fleetObjects, snapshot.objects);
        readSequence<wire::RememberedCommand>(reader, header.commands, snapshot.commands);
        return snapshot;
    });
}

} // namespace auburnrail
