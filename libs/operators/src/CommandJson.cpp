#include <operators/CommandJson.h>

#include <net/TcpAddress.h>
#include <operators/ObjectJson.h>

#include "ResultStatusTable.h"

#include <utility>

namespace auburnrail {

namespace {

auto writeTarget(JsonWriter &writer, ObjectKind kind, const std::string &name) -> void
{
    writer.text("kind", nameOf(kind));
    writer.text("name", name);
}

auto writeBody(const SetObject &body, JsonWriter &writer) -> void
{
    writer.text("type", "set");
    writer.object("object", encodeObject(body.object, true));
}

auto writeBody(const DeleteObject &body, JsonWriter &writer) -> void
{
    writer.text("type", "delete");
    writeTarget(writer, body.kind, body.name);
}

auto writeBody(const SetLabel &body, JsonWriter &writer) -> void
{
    writer.text("type", "set-label");
    writeTarget(writer, body.kind, body.name);
    writer.text("key", body.key);
    writer.text("value", body.value);
}

auto writeBody(const RemoveLabel &body, JsonWriter &writer) -> void
{
    writer.text("type", "remove-label");
    writeTarget(writer, body.kind, body.name);
    writer.text("key", body.key);
}

auto writeBody(const WithdrawKey &body, JsonWriter &writer) -> void
{
    writer.text("type", "withdraw-key");
    writer.text("key", body.key);
}

auto writeBody(const LeaveEndpoint &body, JsonWriter &writer) -> void
{
    writer.text("type", "leave-endpoint");
    writer.text("endpoint", body.endpoint);
}

/// No operator may order these; a body without a type is refused.
auto writeBody(const GrantTerm & /*body*/, JsonWriter & /*writer*/) -> void
{
}

auto writeBody(const PublishPrimary & /*body*/, JsonWriter & /*writer*/) -> void
{
}

auto writeBody(const RecordAcknowledged & /*body*/, JsonWriter & /*writer*/) -> void
{
}

auto writeBody(const RecordEvidenceWait & /*body*/, JsonWriter & /*writer*/) -> void
{
}

auto writeBody(const AdoptPrimary & /*body*/, JsonWriter & /*writer*/) -> void
{
}

/// A configuration document has a front end of its own.
auto writeBody(const ReplaceConfiguration & /*body*/, JsonWriter & /*writer*/) -> void
{
}

/// A leader relies on the list of entries to know who may hold shares.
auto refuseEntry(JsonReader &reader, ObjectKind kind) -> void
{
    if (kind == ObjectKind::Entry)
        reader.fault("kind", "entries register themselves; only their labels can be changed");
}

auto readBody(JsonReader &reader) -> CommandBody
{
    const auto type = reader.requiredText("type");
    if (type == "set") {
        if (!reader.has("object"))
            reader.fault("object", "must be set");
        auto object = reader.object("object");
        auto body = SetObject{decodeObject(object)};
        refuseEntry(reader, kindOf(body.object));
        const auto *endpoint = std::get_if<Endpoint>(&body.object);
        if (endpoint != nullptr && !isConnectableAddress(endpoint->address))
            object.fault("address", "must be an IP and a port from 1 to 65535");
        return body;
    }
    if (type == "withdraw-key")
        return WithdrawKey{reader.requiredText("key")};
    if (type == "leave-endpoint")
        return LeaveEndpoint{reader.requiredText("endpoint")};
    const auto isDelete = type == "delete";
    if (!isDelete && type != "set-label" && type != "remove-label") {
        if (!type.empty())
            reader.fault("type", "unknown value '" + type + "'");
        return DeleteObject();
    }
    const auto kind = decodeKind(reader);
    auto name = reader.requiredText("name");
    if (isDelete) {
        refuseEntry(reader, kind);
        return DeleteObject{kind, std::move(name)};
    }
    auto key = reader.requiredText("key");
    if (type == "remove-label")
        return RemoveLabel{kind, std::move(name), std::move(key)};
    return SetLabel{kind, std::move(name), std::move(key), reader.requiredText("value")};
}

auto readRevision(JsonReader &reader, const std::string &member) -> Revision
{
    const auto value = reader.integer(member);
    if (value < 0)
        reader.fault(member, "must not be negative");
    return static_cast<Revision>(value);
}

} // namespace

auto encodeCommandJson(const Command &command) -> std::string
{
    auto body = JsonWriter();
    std::visit([&body](const auto &value) -> void { writeBody(value, body); }, command.body);
    auto writer = JsonWriter();
    writer.text("id", command.header.commandId);
    writer.integer("base_revision", static_cast<std::int64_t>(command.header.baseRevision));
    if (command.header.expectedRevision) {
        writer.integer("expected_revision",
                       static_cast<std::int64_t>(*command.header.expectedRevision));
    }
    writer.text("operator", command.header.operatorName);
    writer.object("command", body);
    return writer.toString();
}

auto decodeCommandJson(const std::string &body) -> absl::StatusOr<Command>
{
    auto reader = JsonReader(body, "body");
    auto command = Command();
    command.header.commandId = reader.requiredText("id");
    if (!reader.has("base_revision"))
        reader.fault("base_revision", "must be set");
    command.header.baseRevision = readRevision(reader, "base_revision");
    if (reader.has("expected_revision"))
        command.header.expectedRevision = readRevision(reader, "expected_revision");
    command.header.operatorName = reader.requiredText("operator");
    if (!reader.has("command"))
        reader.fault("command", "must be set");
    auto inner = reader.object("command");
    command.body = readBody(inner);
    if (auto status = reader.findings().toStatus(); !status.ok())
        return status;
    return command;
}

auto encodeSubmitAnswer(const SubmitAnswer &answer) -> HttpResponse
{
    auto writer = JsonWriter();
    writer.text("outcome", nameOf(answer.status));
    if (answer.status == SubmitStatus::Decided) {
        writer.text("status", nameOf(answer.result.status));
        writer.integer("revision", static_cast<std::int64_t>(answer.result.revision));
        writer.boolean("in_force", answer.inForce);
        if (answer.result.winningCommandId)
            writer.text("winning_command_id", *answer.result.winningCommandId);
    }
    const auto &message =
        answer.status == SubmitStatus::Decided ? answer.result.message : answer.message;
    if (!message.empty())
        writer.text("message", message);
    if (!answer.leader.empty())
        writer.text("leader", answer.leader);
    return HttpResponse{
        .status = detail::httpStatusOf(answer), .headers = {}, .body = writer.toString()};
}

auto decodeSubmitAnswer(const HttpResponse &response) -> SubmitAnswer
{
    auto reader = JsonReader(response.body, "answer");
    auto answer = SubmitAnswer{.status = readEnum(reader, "outcome", SubmitStatus::Unknown)};
    const auto message = reader.text("message");
    answer.leader = reader.text("leader");
    if (answer.status == SubmitStatus::Decided) {
        const auto status = parseName<CommandStatus>(reader.requiredText("status"));
        if (!status)
            reader.fault("status", "unknown value");
        answer.result.status = status.value_or(CommandStatus::Invalid);
        answer.result.message = message;
        answer.result.revision = static_cast<Revision>(reader.integer("revision"));
        answer.inForce = reader.boolean("in_force");
        if (reader.has("winning_command_id"))
            answer.result.winningCommandId = reader.text("winning_command_id");
    } else {
        answer.message = message;
    }
    if (!reader.findings().empty())
        return SubmitAnswer{.status = SubmitStatus::Unknown,
                            .message = reader.findings().toString()};
    return answer;
}

} // namespace auburnrail
