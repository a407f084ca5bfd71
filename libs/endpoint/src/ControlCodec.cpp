#include <endpoint/ControlCodec.h>

#include "PositionJson.h"

#include <http/JsonReader.h>
#include <http/JsonWriter.h>

namespace auburnrail {

using detail::readPosition;
using detail::writePosition;

namespace {

auto startWriter(const std::string &exchangeId, std::uint64_t term) -> JsonWriter
{
    auto writer = JsonWriter();
    writer.text("exchange", exchangeId);
    writer.integer("term", static_cast<std::int64_t>(term));
    return writer;
}

auto toRequest(const char *path, const JsonWriter &writer) -> HttpRequest
{
    return HttpRequest{.target = path, .headers = {}, .body = writer.toString(), .peer = {}};
}

auto toResponse(const JsonWriter &writer) -> HttpResponse
{
    return HttpResponse{.status = 200, .headers = {}, .body = writer.toString()};
}

auto readUint64(JsonReader &reader, const std::string &member) -> std::uint64_t
{
    return static_cast<std::uint64_t>(reader.integer(member));
}

auto writeEndpoint(const GroupEndpoint &endpoint) -> JsonWriter
{
    auto writer = JsonWriter();
    writer.text("name", endpoint.name);
    writer.text("address", endpoint.address);
    return writer;
}

auto readEndpoint(JsonReader &reader) -> GroupEndpoint
{
    return GroupEndpoint{.name = reader.requiredText("name"),
                         .address = reader.requiredText("address")};
}

auto writeEntry(const GroupLogEntry &entry) -> JsonWriter
{
    auto writer = JsonWriter();
    writePosition(writer, "position", entry.position);
    writer.texts("statements", entry.statements);
    if (!entry.idempotencyKey.empty()) {
        writer.text("organisation", entry.organisation);
        writer.text("idempotency_key", entry.idempotencyKey);
        writer.text("fingerprint", entry.fingerprint);
        writer.text("result", entry.result);
    }
    return writer;
}

auto readEntry(JsonReader &reader) -> GroupLogEntry
{
    return GroupLogEntry{.position = readPosition(reader, "position"),
                         .statements = reader.texts("statements"),
                         .organisation = reader.text("organisation"),
                         .idempotencyKey = reader.text("idempotency_key"),
                         .fingerprint = reader.text("fingerprint"),
                         .result = reader.text("result")};
}

/// Returns `value`, or the findings that `reader` collected while `value` was read from it.
template <typename T>
auto valueOrFindings(const JsonReader &reader, T value) -> absl::StatusOr<T>
{
    if (!reader.findings().empty())
        return reader.findings().toStatus();
    return value;
}

} // namespace

auto encodeFenceRequest(const FenceRequest &request) -> HttpRequest
{
    return toRequest("/fence", startWriter(request.exchangeId, request.term));
}

auto decodeFenceRequest(const HttpRequest &request) -> absl::StatusOr<FenceRequest>
{
    auto reader = JsonReader(request.body, "fence");
    return valueOrFindings(reader, FenceRequest{.exchangeId = reader.requiredText("exchange"),
                                                .term = readUint64(reader, "term")});
}

auto encodePromoteRequest(const PromoteRequest &request) -> HttpRequest
{
    auto writer = startWriter(request.exchangeId, request.term);
    auto members = std::vector<JsonWriter>();
    for (const auto &member : request.members)
        members.push_back(writeEndpoint(member));
    writer.objects("members", members);
    return toRequest("/promote", writer);
}

auto decodePromoteRequest(const HttpRequest &request) -> absl::StatusOr<PromoteRequest>
{
    auto reader = JsonReader(request.body, "promote");
    auto result = PromoteRequest{.exchangeId = reader.requiredText("exchange"),
                                 .term = readUint64(reader, "term"),
                                 .members = {}};
    for (auto &member : reader.objects("members"))
        result.members.push_back(readEndpoint(member));
    return valueOrFindings(reader, std::move(result));
}

auto encodeFollowRequest(const FollowRequest &request) -> HttpRequest
{
    auto writer = startWriter(request.exchangeId, request.term);
    writer.object("primary", writeEndpoint(request.primary));
    return toRequest("/follow", writer);
}

auto decodeFollowRequest(const HttpRequest &request) -> absl::StatusOr<FollowRequest>
{
    auto reader = JsonReader(request.body, "follow");
    auto primary = reader.object("primary");
    return valueOrFindings(reader, FollowRequest{.exchangeId = reader.requiredText("exchange"),
                                                 .term = readUint64(reader, "term"),
                                                 .primary = readEndpoint(primary)});
}

auto encodeLogRequest(const LogRequest &request) -> HttpRequest
{
    auto writer = startWriter(request.exchangeId, request.term);
    writer.text("endpoint", request.endpoint);
    writePosition(writer, "after", request.after);
    writer.integer("wait_limit_ms", toMillis(request.waitLimit));
    return toRequest("/log", writer);
}

auto decodeLogRequest(const HttpRequest &request) -> absl::StatusOr<LogRequest>
{
    auto reader = JsonReader(request.body, "log");
    return valueOrFindings(reader, LogRequest{.exchangeId = reader.requiredText("exchange"),
                                              .endpoint = reader.text("endpoint"),
                                              .term = readUint64(reader, "term"),
                                              .after = readPosition(reader, "after"),
                                              .waitLimit = std::chrono::milliseconds(
                                                  reader.integer("wait_limit_ms"))});
}

auto encodeFaultCommand(const FaultCommand &request) -> HttpRequest
{
    auto writer = JsonWriter();
    writer.text("exchange", request.exchangeId);
    writer.text("kind", nameOf(request.kind));
    writer.boolean("on", request.on);
    writer.integer("count", request.count);
    writer.integer("length_ms", toMillis(request.length));
    writer.texts("peers", request.peers);
    return toRequest("/fault", writer);
}

auto decodeFaultCommand(const HttpRequest &request) -> absl::StatusOr<FaultCommand>
{
    auto reader = JsonReader(request.body, "fault");
    std::ignore = reader.requiredText("kind");
    return valueOrFindings(
        reader, FaultCommand{.exchangeId = reader.requiredText("exchange"),
                             .kind = readEnum(reader, "kind", FaultKind::Freeze),
                             .on = reader.boolean("on", true),
                             .count = reader.integer("count", 1),
                             .length = std::chrono::milliseconds(reader.integer("length_ms")),
                             .peers = reader.texts("peers")});
}

auto encodeFenceResponse(const FenceResponse &response, const std::string &exchangeId)
    -> HttpResponse
{
    auto writer = startWriter(exchangeId, response.highestTerm);
    writer.boolean("accepted", response.accepted);
    writer.boolean("was_primary", response.wasPrimary);
    writer.boolean("rebuilding", response.rebuilding);
    writePosition(writer, "position", response.position);
    return toResponse(writer);
}

auto decodeFenceResponse(const HttpResponse &httpResponse, const std::string &exchangeId)
    -> absl::StatusOr<FenceResponse>
{
    auto reader = JsonReader(httpResponse.body, "fence answer");
    if (reader.requiredText("exchange") != exchangeId)
        reader.fault("exchange", "belongs to another exchange");
    return valueOrFindings(reader, FenceResponse{.accepted = reader.boolean("accepted"),
                                                 .position = readPosition(reader, "position"),
                                                 .highestTerm = readUint64(reader, "term"),
                                                 .wasPrimary = reader.boolean("was_primary"),
                                                 .rebuilding = reader.boolean("rebuilding")});
}

auto encodeControlResponse(const ControlResponse &response) -> HttpResponse
{
    auto writer = startWriter(response.exchangeId, response.highestTerm);
    writer.boolean("accepted", response.accepted);
    return toResponse(writer);
}

auto decodeControlResponse(const HttpResponse &httpResponse) -> absl::StatusOr<ControlResponse>
{
    auto reader = JsonReader(httpResponse.body, "answer");
    return valueOrFindings(reader, ControlResponse{.exchangeId = reader.requiredText("exchange"),
                                                   .accepted = reader.boolean("accepted"),
                                                   .highestTerm = readUint64(reader, "term")});
}

auto encodeLogResponse(const LogResponse &response) -> HttpResponse
{
    auto writer = startWriter(response.exchangeId, response.term);
    writer.boolean("primary", response.primary);
    writer.boolean("matches", response.matches);
    writer.boolean("complete", response.complete);
    writePosition(writer, "after", response.after);
    writePosition(writer, "last_common", response.lastCommon);
    auto entries = std::vector<JsonWriter>();
    for (const auto &entry : response.entries)
        entries.push_back(writeEntry(entry));
    writer.objects("entries", entries);
    return toResponse(writer);
}

auto decodeLogResponse(const HttpResponse &httpResponse) -> absl::StatusOr<LogResponse>
{
    auto reader = JsonReader(httpResponse.body, "log answer");
    auto response = LogResponse{.exchangeId = reader.requiredText("exchange"),
                                .term = readUint64(reader, "term"),
                                .primary = reader.boolean("primary"),
                                .matches = reader.boolean("matches"),
                                .complete = reader.boolean("complete"),
                                .after = readPosition(reader, "after"),
                                .lastCommon = readPosition(reader, "last_common"),
                                .entries = {}};
    for (auto &entry : reader.objects("entries"))
        response.entries.push_back(readEntry(entry));
    return valueOrFindings(reader, std::move(response));
}

} // namespace auburnrail
