#include <endpoint/EndpointCodec.h>

#include "PositionJson.h"

#include <http/JsonReader.h>
#include <http/JsonWriter.h>

#include <optional>

namespace auburnrail {

using detail::readPosition;
using detail::writePosition;

namespace {

constexpr auto ANNOUNCEMENT_PATH = "/v1/announcements";

auto operationOfPath(const std::string &target) -> std::optional<EndpointOperation>
{
    if (target.empty() || target.front() != '/')
        return std::nullopt;
    return parseName<EndpointOperation>(std::string_view(target).substr(1));
}

} // namespace

auto encodeEndpointRequest(const EndpointRequest &request) -> HttpRequest
{
    auto writer = JsonWriter();
    writer.text("exchange", request.exchangeId);
    writer.integer("term", static_cast<std::int64_t>(request.term));
    writer.text("mode", nameOf(request.mode));
    writer.text("statement", request.statement);
    writePosition(writer, "minimum_position", request.minimumPosition);
    if (!request.idempotencyKey.empty()) {
        writer.text("organisation", request.organisation);
        writer.text("idempotency_key", request.idempotencyKey);
        writer.text("fingerprint", request.fingerprint);
    }
    writer.integer("wait_limit_ms", toMillis(request.waitLimit));
    return HttpRequest{.target = "/" + std::string(nameOf(request.operation)),
                       .headers = {},
                       .body = writer.toString(),
                       .peer = {}};
}

auto decodeEndpointRequest(const HttpRequest &request) -> absl::StatusOr<EndpointRequest>
{
    const auto operation = operationOfPath(request.target);
    if (!operation)
        return absl::InvalidArgumentError("unknown path " + request.target);
    auto reader = JsonReader(request.body, "body");
    auto result = EndpointRequest();
    result.operation = *operation;
    result.exchangeId = reader.requiredText("exchange");
    result.term = static_cast<std::uint64_t>(reader.integer("term"));
    result.mode = readEnum(reader, "mode", AccessMode::Read);
    result.statement = reader.text("statement");
    result.minimumPosition = readPosition(reader, "minimum_position");
    result.organisation = reader.text("organisation");
    result.idempotencyKey = reader.text("idempotency_key");
    result.fingerprint = reader.text("fingerprint");
    result.waitLimit = std::chrono::milliseconds(reader.integer("wait_limit_ms"));
    if (!reader.findings().empty())
        return reader.findings().toStatus();
    return result;
}

auto encodeEndpointResponse(const EndpointResponse &response) -> HttpResponse
{
    auto writer = JsonWriter();
    writer.text("exchange", response.exchangeId);
    writer.text("refusal", nameOf(response.refusal));
    writer.text("result", response.result);
    writer.boolean("duplicate", response.duplicate);
    writePosition(writer, "position", response.position);
    writer.integer("term", static_cast<std::int64_t>(response.term));
    writer.boolean("primary", response.primary);
    writer.boolean("leaving", response.leaving);
    writer.integer("data_age_ms", toMillis(response.dataAge));
    return HttpResponse{.status = 200, .headers = {}, .body = writer.toString()};
}

auto decodeEndpointResponse(const HttpResponse &httpResponse) -> absl::StatusOr<EndpointResponse>
{
    auto reader = JsonReader(httpResponse.body, "answer");
    auto response = EndpointResponse();
    response.exchangeId = reader.requiredText("exchange");
    response.refusal = readEnum(reader, "refusal", EndpointRefusal::None);
    response.result = reader.text("result");
    response.duplicate = reader.boolean("duplicate");
    response.position = readPosition(reader, "position");
    response.term = static_cast<std::uint64_t>(reader.integer("term"));
    response.primary = reader.boolean("primary");
    response.leaving = reader.boolean("leaving");
    response.dataAge = std::chrono::milliseconds(reader.integer("data_age_ms"));
    if (!reader.findings().empty())
        return reader.findings().toStatus();
    return response;
}

auto encodeAnnouncement(const Announcement &announcement) -> HttpRequest
{
    auto writer = JsonWriter();
    writer.text("endpoint", announcement.endpoint);
    writer.text("group", announcement.group);
    writer.text("zone", announcement.zone);
    writer.text("address", announcement.address);
    writer.labels("labels", announcement.labels);
    writer.integer("term", static_cast<std::int64_t>(announcement.term));
    writePosition(writer, "position", announcement.position);
    writer.boolean("primary", announcement.primary);
    writer.boolean("leaving", announcement.leaving);
    writer.integer("connection_limit", announcement.connectionLimit);
    return HttpRequest{
        .target = ANNOUNCEMENT_PATH, .headers = {}, .body = writer.toString(), .peer = {}};
}

auto decodeAnnouncement(const HttpRequest &request) -> absl::StatusOr<Announcement>
{
    auto reader = JsonReader(request.body, "announcement");
    auto result = Announcement();
    result.endpoint = reader.requiredText("endpoint");
    result.group = reader.requiredText("group");
    result.zone = reader.requiredText("zone");
    result.address = reader.requiredText("address");
    result.labels = reader.labels("labels");
    result.term = static_cast<std::uint64_t>(reader.integer("term"));
    result.position = readPosition(reader, "position");
    result.primary = reader.boolean("primary");
    result.leaving = reader.boolean("leaving");
    result.connectionLimit = reader.integer("connection_limit");
    if (!reader.findings().empty())
        return reader.findings().toStatus();
    return result;
}

} // namespace auburnrail
