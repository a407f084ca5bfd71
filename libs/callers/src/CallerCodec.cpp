#include <callers/CallerCodec.h>

#include "HttpStatusTable.h"

#include <http/JsonReader.h>
#include <http/JsonWriter.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <vector>

namespace auburnrail {

namespace {

constexpr auto PATH_PREFIX = std::string_view("/v1/services/");
constexpr auto BEARER_PREFIX = "Bearer ";
constexpr auto DEFAULT_DEADLINE_MS = std::int64_t(5000);
constexpr auto MAX_DEADLINE_MS = std::int64_t(60000);

auto header(const HttpHeaders &headers, std::string_view name) -> std::string
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

/// Printable ASCII and no more: the text is returned in a header and in JSON, and is compared with
/// that of a repetition.
auto isHeaderText(std::string_view text) -> bool
{
    return std::all_of(text.begin(), text.end(),
                       [](char character) { return character >= ' ' && character <= '~'; });
}

auto refuse(ReasonCode reason, std::string message) -> CallerResponse
{
    auto response = CallerResponse();
    response.reason = reason;
    response.message = std::move(message);
    return response;
}

/// Sets service, kind and transaction from the path. False if no operation has that path.
auto parsePath(const std::string &target, CallerRequest &request) -> bool
{
    if (!target.starts_with(PATH_PREFIX))
        return false;
    const auto rest = target.substr(PATH_PREFIX.size());
    const auto parts = std::vector<std::string>(absl::StrSplit(rest, '/'));
    request.service = parts[0];
    if (parts.size() == 2 && parts[1] == "statements")
        return true;
    if (parts.size() == 2 && parts[1] == "transactions") {
        request.kind = RequestKind::Begin;
        return true;
    }
    if (parts.size() != 4 || parts[1] != "transactions" || parts[2].empty())
        return false;
    request.transaction = parts[2];
    if (parts[3] == "statements")
        request.kind = RequestKind::Statement;
    else if (parts[3] == "commit")
        request.kind = RequestKind::Commit;
    else if (parts[3] == "rollback")
        request.kind = RequestKind::Rollback;
    else
        return false;
    return true;
}

auto parseDeadline(const std::string &value, TimePoint now) -> std::optional<TimePoint>
{
    auto millis = DEFAULT_DEADLINE_MS;
    if (!value.empty() && !absl::SimpleAtoi(value, &millis))
        return std::nullopt;
    if (millis <= 0)
        return std::nullopt;
    return now + std::chrono::milliseconds(std::min(millis, MAX_DEADLINE_MS));
}

auto parseBody(const HttpRequest &source, CallerRequest &request) -> std::string
{
    auto reader = JsonReader(source.body.empty() ? "{}" : source.body, "body");
    request.mode = readEnum(reader, "mode", AccessMode::Read);
    if (request.kind == RequestKind::Statement)
        request.statement = reader.requiredText("statement");
    if (reader.has("max_age_ms")) {
        const auto millis = reader.integer("max_age_ms", -1);
        if (millis < 0 || millis > std::numeric_limits<std::int32_t>::max())
            reader.fault("max_age_ms", "must be a number of milliseconds, 0 or more");
        else
            request.maxAge = std::chrono::milliseconds(millis);
    }
    return reader.findings().toString();
}

auto pathOf(const CallerRequest &request) -> std::string
{
    auto path = std::string(PATH_PREFIX) + request.service;
    if (request.kind == RequestKind::Begin)
        return path + "/transactions";
    if (!request.transaction.empty())
        path += "/transactions/" + request.transaction;
    if (request.kind == RequestKind::Statement)
        return path + "/statements";
    return path + "/" + std::string(nameOf(request.kind));
}

} // namespace

auto decodeCallerRequest(const HttpRequest &source, std::string fallbackRequestId, TimePoint now)
    -> std::variant<CallerRequest, CallerResponse>
{
    auto request = CallerRequest();
    request.requestId = header(source.headers, "x-request-id");
    if (request.requestId.empty())
        request.requestId = std::move(fallbackRequestId);
    if (source.method != "POST" || !parsePath(source.target, request))
        return refuse(ReasonCode::UnknownPath, "no operation has this method and path");
    const auto authorization = header(source.headers, "authorization");
    request.key = std::string(absl::StripPrefix(authorization, BEARER_PREFIX));
    request.idempotencyKey = header(source.headers, "idempotency-key");
    request.sessionToken = header(source.headers, "x-auburnrail-session");
    if (!isHeaderText(request.requestId) || !isHeaderText(request.idempotencyKey)) {
        return refuse(ReasonCode::MalformedRequest,
                      "X-Request-Id and Idempotency-Key must be printable ASCII");
    }
    const auto deadline = parseDeadline(header(source.headers, "x-auburnrail-deadline-ms"), now);
    if (!deadline) {
        return refuse(ReasonCode::MalformedRequest,
                      "X-Auburnrail-Deadline-Ms must be a positive number of milliseconds");
    }
    request.deadline = *deadline;
    if (auto errors = parseBody(source, request); !errors.empty())
        return refuse(ReasonCode::MalformedRequest, std::move(errors));
    return request;
}

auto encodeCallerResponse(const CallerResponse &response, const std::string &requestId)
    -> HttpResponse
{
    auto writer = JsonWriter();
    writer.text("outcome", nameOf(response.outcome));
    writer.text("reason", nameOf(response.reason));
    writer.text("request_id", requestId);
    if (!response.message.empty())
        writer.text("message", response.message);
    if (response.reason == ReasonCode::Completed)
        writer.text("result", response.result);
    if (!response.transaction.empty())
        writer.text("transaction", response.transaction);
    if (!response.endpoint.empty())
        writer.text("endpoint", response.endpoint);
    writer.boolean("replica", response.servedByReplica);
    if (response.duplicate)
        writer.boolean("duplicate", true);
    if (response.retryAfter)
        writer.integer("retry_after_ms", toMillis(*response.retryAfter));
    auto httpResponse = HttpResponse{
        .status = httpStatusOf(response.reason), .headers = {}, .body = writer.toString()};
    httpResponse.headers.emplace("X-Request-Id", requestId);
    if (!response.sessionToken.empty())
        httpResponse.headers.emplace("X-Auburnrail-Session", response.sessionToken);
    return httpResponse;
}

auto encodeCallerRequest(const CallerRequest &request, TimePoint now) -> HttpRequest
{
    auto writer = JsonWriter();
    writer.text("mode", nameOf(request.mode));
    if (request.kind == RequestKind::Statement)
        writer.text("statement", request.statement);
    if (request.maxAge)
        writer.integer("max_age_ms", toMillis(*request.maxAge));
    auto result = HttpRequest{
        .target = pathOf(request), .headers = {}, .body = writer.toString(), .peer = {}};
    const auto add = [&result](const char *name, const std::string &value) {
        if (!value.empty())
            result.headers.emplace(name, value);
    };
    add("x-request-id", request.requestId);
    add("authorization", request.key.empty() ? "" : BEARER_PREFIX + request.key);
    add("idempotency-key", request.idempotencyKey);
    add("x-auburnrail-session", request.sessionToken);
    add("x-auburnrail-deadline-ms",
        std::to_string(std::max<std::int64_t>(1, toMillis(request.deadline - now))));
    return result;
}

auto decodeCallerResponse(const HttpResponse &httpResponse) -> CallerResponse
{
    auto reader = JsonReader(httpResponse.body, "answer");
    auto response = CallerResponse();
    response.outcome = readEnum(reader, "outcome", Outcome::Unknown);
    response.reason = readEnum(reader, "reason", ReasonCode::InternalError);
    response.message = reader.text("message");
    response.result = reader.text("result");
    response.transaction = reader.text("transaction");
    response.endpoint = reader.text("endpoint");
    response.servedByReplica = reader.boolean("replica");
    response.duplicate = reader.boolean("duplicate");
    if (reader.has("retry_after_ms"))
        response.retryAfter = std::chrono::milliseconds(reader.integer("retry_after_ms"));
    response.sessionToken = header(httpResponse.headers, "x-auburnrail-session");
    if (!reader.findings().empty()) {
        response = CallerResponse();
        response.outcome = Outcome::Unknown;
        response.message = reader.findings().toString();
    }
    return response;
}

} // namespace auburnrail
