#include <callers/CallerCodec.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

struct BadRequest
{
    std::string name;
    HttpRequest request;
    ReasonCode reason;
};

} // namespace

TEST_CASE("a caller's request survives encoding")
{
    const auto now = TimePoint(1s);
    const auto request = CallerRequest{.requestId = "r-1",
                                       .service = "logs",
                                       .key = "ar_1_secret",
                                       .mode = AccessMode::Write,
                                       .statement = "PUT a 1",
                                       .transaction = "entry-1.7",
                                       .maxAge = 30ms,
                                       .idempotencyKey = "k",
                                       .sessionToken = "token",
                                       .deadline = now + 2s};
    const auto decoded = decodeCallerRequest(encodeCallerRequest(request, now), "", now);
    REQUIRE(std::holds_alternative<CallerRequest>(decoded));
    const auto &result = std::get<CallerRequest>(decoded);
    CHECK(result.key == request.key);
    CHECK(result.transaction == request.transaction);
    CHECK(result.maxAge == request.maxAge);
    CHECK(result.deadline == request.deadline);
}

// Guards against malformed requests that are run or get a response without an outcome.
TEST_CASE("malformed requests are refused as not-run with their reason")
{
    const auto path = std::string("/v1/services/logs/statements");
    const auto bad = GENERATE_COPY(
        BadRequest{"other path", {.target = "/v1/other"}, ReasonCode::UnknownPath},
        BadRequest{"other method", {.method = "GET", .target = path}, ReasonCode::UnknownPath},
        BadRequest{"broken JSON", {.target = path, .body = "{"}, ReasonCode::MalformedRequest},
        BadRequest{"no statement", {.target = path, .body = "{}"}, ReasonCode::MalformedRequest},
        BadRequest{"unknown mode",
                   {.target = path, .body = R"({"mode":"x","statement":"GET a"})"},
                   ReasonCode::MalformedRequest},
        BadRequest{"negative age",
                   {.target = path, .body = R"({"statement":"GET a","max_age_ms":-1})"},
                   ReasonCode::MalformedRequest},
        BadRequest{"deadline",
                   {.target = path,
                    .headers = {{"x-auburnrail-deadline-ms", "soon"}},
                    .body = R"({"statement":"GET a"})"},
                   ReasonCode::MalformedRequest},
        // In the response they would make JSON that no caller can read, after the statement ran.
        BadRequest{"request id that is no text",
                   {.target = path,
                    .headers = {{"x-request-id", "a\xff"}},
                    .body = R"({"statement":"GET a"})"},
                   ReasonCode::MalformedRequest},
        BadRequest{"idempotency key with a line end",
                   {.target = path,
                    .headers = {{"idempotency-key", "a\r\nb"}},
                    .body = R"({"statement":"GET a"})"},
                   ReasonCode::MalformedRequest});
    INFO(bad.name);
    const auto decoded = decodeCallerRequest(bad.request, "r", TimePoint());
    REQUIRE(std::holds_alternative<CallerResponse>(decoded));
    CHECK(std::get<CallerResponse>(decoded).reason == bad.reason);
    CHECK(std::get<CallerResponse>(decoded).outcome == Outcome::NotRun);
}

TEST_CASE("arbitrary bodies never crash the caller codec")
{
    CHECK(rc::check([](const std::string &body, const std::string &tail) {
        std::ignore = decodeCallerRequest(
            HttpRequest{.target = "/v1/services/" + tail, .body = body}, "r", TimePoint());
        RC_ASSERT(decodeCallerResponse(HttpResponse{.body = body}).outcome == Outcome::Unknown);
    }));
}

} // namespace auburnrail
