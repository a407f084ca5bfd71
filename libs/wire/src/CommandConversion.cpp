#include "CommandConversion.h"

#include "CompactReader.h"
#include "CompactWriter.h"
#include "DecodeFault.h"
#include "EnumConversion.h"
#include "EvidenceConversion.h"
#include "FleetConversion.h"

#include <utility>

namespace auburnrail::detail {

namespace {

auto convert(const SetObject &from, wire::CommandBody &result) -> void
{
    result.__set_setObject(toWire(from.object));
}

auto convert(const DeleteObject &from, wire::CommandBody &result) -> void
{
    auto to = wire::DeleteObject();
    to.kind = toWireEnum(from.kind);
    to.name = from.name;
    result.__set_deleteObject(to);
}

auto convert(const SetLabel &from, wire::CommandBody &result) -> void
{
    auto to = wire::SetLabel();
    to.kind = toWireEnum(from.kind);
    to.name = from.name;
    to.key = from.key;
    to.value = from.value;
    result.__set_setLabel(to);
}

auto convert(const RemoveLabel &from, wire::CommandBody &result) -> void
{
    auto to = wire::RemoveLabel();
    to.kind = toWireEnum(from.kind);
    to.name = from.name;
    to.key = from.key;
    result.__set_removeLabel(to);
}

auto convert(const WithdrawKey &from, wire::CommandBody &result) -> void
{
    auto to = wire::WithdrawKey();
    to.key = from.key;
    result.__set_withdrawKey(to);
}

auto convert(const GrantTerm &from, wire::CommandBody &result) -> void
{
    auto to = wire::GrantTerm();
    to.groupName = from.group;
    to.term = static_cast<std::int64_t>(from.term);
    result.__set_grantTerm(to);
}

auto convert(const PublishPrimary &from, wire::CommandBody &result) -> void
{
    auto to = wire::PublishPrimary();
    to.groupName = from.group;
    to.term = static_cast<std::int64_t>(from.term);
    to.endpoint = from.endpoint;
    to.__set_start(toWire(from.start));
    to.isLossAccepted = from.isLossAccepted;
    result.__set_publishPrimary(to);
}

auto convert(const RecordAcknowledged &from, wire::CommandBody &result) -> void
{
    auto to = wire::RecordAcknowledged();
    to.groupName = from.group;
    to.term = static_cast<std::int64_t>(from.term);
    to.position = toWire(from.position);
    result.__set_recordAcknowledged(to);
}

auto convert(const RecordEvidenceWait &from, wire::CommandBody &result) -> void
{
    auto to = wire::RecordEvidenceWait();
    to.groupName = from.group;
    to.term = static_cast<std::int64_t>(from.term);
    to.isWaiting = from.isWaiting;
    result.__set_recordEvidenceWait(to);
}

auto convert(const LeaveEndpoint &from, wire::CommandBody &result) -> void
{
    auto to = wire::LeaveEndpoint();
    to.endpoint = from.endpoint;
    result.__set_leaveEndpoint(to);
}

auto convert(const AdoptPrimary &from, wire::CommandBody &result) -> void
{
    auto to = wire::AdoptPrimary();
    to.groupName = from.group;
    to.endpoint = from.endpoint;
    result.__set_adoptPrimary(to);
}

auto convert(const ReplaceConfiguration &from, wire::CommandBody &result) -> void
{
    auto to = wire::ReplaceConfiguration();
    to.document = toWire(from.document);
    to.objectCount = static_cast<std::int32_t>(from.objects.size());
    auto writer = CompactWriter();
    for (const auto &object : from.objects)
        writer.write(toWire(object));
    to.fleetObjects = writer.bytes();
    result.__set_replaceConfiguration(to);
}

auto convert(wire::ReplaceConfiguration &&from) -> ReplaceConfiguration
{
    if (from.objectCount < 0)
        throw DecodeFault("a count is negative");
    auto to = ReplaceConfiguration{.document = fromWire(std::move(from.document)), .objects = {}};
    auto reader = CompactReader(from.fleetObjects);
    for (auto index = std::int32_t(0); index < from.objectCount; ++index)
        to.objects.push_back(fromWire(reader.read<wire::FleetObject>()));
    reader.requireEnd();
    return to;
}

auto convert(wire::CommandBody &&from) -> CommandBody
{
    const auto &isSet = from.__isset;
    const auto count = int(isSet.setObject) + int(isSet.deleteObject) + int(isSet.setLabel)
                       + int(isSet.removeLabel) + int(isSet.withdrawKey) + int(isSet.grantTerm)
                       + int(isSet.publishPrimary) + int(isSet.leaveEndpoint)
                       + int(isSet.adoptPrimary) + int(isSet.replaceConfiguration)
                       + int(isSet.recordAcknowledged) + int(isSet.recordEvidenceWait);
    if (count != 1)
        throw DecodeFault("a command is not of exactly one kind");
    if (isSet.setObject)
        return SetObject{fromWire(std::move(from.setObject))};
    if (isSet.deleteObject) {
        return DeleteObject{fromWireEnum<ObjectKind>(from.deleteObject.kind),
                            std::move(from.deleteObject.name)};
    }
    if (isSet.setLabel) {
        return SetLabel{fromWireEnum<ObjectKind>(from.setLabel.kind), std::move(from.setLabel.name),
                        std::move(from.setLabel.key), std::move(from.setLabel.value)};
    }
    if (isSet.removeLabel) {
        return RemoveLabel{fromWireEnum<ObjectKind>(from.removeLabel.kind),
                           std::move(from.removeLabel.name), std::move(from.removeLabel.key)};
    }
    if (isSet.withdrawKey)
        return WithdrawKey{std::move(from.withdrawKey.key)};
    if (isSet.grantTerm) {
        return GrantTerm{std::move(from.grantTerm.groupName),
                         static_cast<std::uint64_t>(from.grantTerm.term)};
    }
    if (isSet.publishPrimary) {
        return PublishPrimary{std::move(from.publishPrimary.groupName),
                              static_cast<std::uint64_t>(from.publishPrimary.term),
                              std::move(from.publishPrimary.endpoint),
                              fromWire(from.publishPrimary.start),
                              from.publishPrimary.isLossAccepted};
    }
    if (isSet.adoptPrimary) {
        return AdoptPrimary{std::move(from.adoptPrimary.groupName),
                            std::move(from.adoptPrimary.endpoint)};
    }
    if (isSet.replaceConfiguration)
        return convert(std::move(from.replaceConfiguration));
    if (isSet.recordEvidenceWait) {
        return RecordEvidenceWait{std::move(from.recordEvidenceWait.groupName),
                                  static_cast<std::uint64_t>(from.recordEvidenceWait.term),
                                  from.recordEvidenceWait.isWaiting};
    }
    if (isSet.recordAcknowledged) {
        return RecordAcknowledged{std::move(from.recordAcknowledged.groupName),
                                  static_cast<std::uint64_t>(from.recordAcknowledged.term),
                                  fromWire(from.recordAcknowledged.position)};
    }
    return LeaveEndpoint{std::move(from.leaveEndpoint.endpoint)};
}

} // namespace

auto toWire(const Command &command) -> wire::Command
{
    auto result = wire::Command();
    result.commandId = command.header.commandId;
    result.baseRevision = static_cast<std::int64_t>(command.header.baseRevision);
    if (command.header.expectedRevision)
        result.__set_expectedRevision(static_cast<std::int64_t>(*command.header.expectedRevision));
    result.operatorName = command.header.operatorName;
    std::visit([&result](const auto &body) -> void { convert(body, result.body); }, command.body);
    return result;
}

auto fromWire(wire::Command &&command) -> Command
{
    auto result = Command{
        CommandHeader{.commandId = std::move(command.commandId),
                      .baseRevision = static_cast<Revision>(command.baseRevision),
                      .expectedRevision = std::nullopt,
                      .operatorName = std::move(command.operatorName)},
        convert(std::move(command.body)),
    };
    if (command.__isset.expectedRevision)
        result.header.expectedRevision = static_cast<Revision>(command.expectedRevision);
    return result;
}

auto toWire(const CommandResult &result) -> wire::CommandResult
{
    auto to = wire::CommandResult();
    to.status = toWireEnum(result.status);
    to.message = result.message;
    to.revision = static_cast<std::int64_t>(result.revision);
    if (result.winningCommandId)
        to.__set_winningCommandId(*result.winningCommandId);
    return to;
}

auto fromWire(wire::CommandResult &&result) -> CommandResult
{
    auto to = CommandResult{.status = fromWireEnum<CommandStatus>(result.status),
                            .message = std::move(result.message),
                            .revision = static_cast<Revision>(result.revision)};
    if (result.__isset.winningCommandId)
        to.winningCommandId = std::move(result.winningCommandId);
    return to;
}

auto toWire(const RememberedCommand &row) -> wire::RememberedCommand
{
    auto to = wire::RememberedCommand();
    to.commandId = row.commandId;
    to.revision = static_cast<std::int64_t>(row.revision);
    to.kind = toWireEnum(row.kind);
    to.name = row.name;
    to.result = toWire(row.result);
    return to;
}

auto fromWire(wire::RememberedCommand &&row) -> RememberedCommand
{
    return RememberedCommand{.commandId = std::move(row.commandId),
                             .revision = static_cast<Revision>(row.revision),
                             .kind = fromWireEnum<ObjectKind>(row.kind),
                             .name = std::move(row.name),
                             .result = fromWire(std::move(row.result))};
}

} // namespace auburnrail::detail
