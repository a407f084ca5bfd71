#include <endpoint/ControlCodec.h>
#include <endpoint/EndpointCodec.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace auburnrail {

TEST_CASE("an endpoint request and its response are unchanged by encoding and decoding")
{
    const auto request = EndpointRequest{.exchangeId = "x-1",
                                         .operation = EndpointOperation::Execute,
                                         .term = 4,
                                         .mode = AccessMode::Write,
                                         .statement = "PUT a 1",
                                         .minimumPosition = {.term = 3, .index = 9},
                                         .organisation = "shed",
                                         .idempotencyKey = "k",
                                         .fingerprint = "f",
                                         .waitLimit = std::chrono::milliseconds(20)};
    const auto decoded = decodeEndpointRequest(encodeEndpointRequest(request));
    REQUIRE(decoded.ok());
    CHECK(decoded->statement == request.statement);
    CHECK(decoded->minimumPosition == request.minimumPosition);
    CHECK(decoded->idempotencyKey == "k");
    CHECK(decoded->waitLimit == request.waitLimit);

    const auto response = decodeEndpointResponse(encodeEndpointResponse(EndpointResponse{
        .exchangeId = "x-1", .refusal = EndpointRefusal::Behind, .primary = true}));
    REQUIRE(response.ok());
    CHECK(response->refusal == EndpointRefusal::Behind);
    CHECK(response->primary);
}

// Guards against a truncated response, or one of another exchange, being taken for a result.
TEST_CASE("a response without an exchange id is refused")
{
    CHECK_FALSE(decodeEndpointResponse(HttpResponse{.body = "{}"}).ok());
    CHECK(rc::check([](const std::string &body) {
        RC_ASSERT(!decodeEndpointResponse(HttpResponse{.body = body}).ok());
        RC_ASSERT(!decodeAnnouncement(HttpRequest{.body = body}).ok());
    }));
}

// Guards against members that are lost between a replica and its primary, and against a control
// message that arrives with a different term or target.
TEST_CASE("control messages and log entries are unchanged by encoding and decoding")
{
    const auto promote = decodePromoteRequest(encodePromoteRequest(
        PromoteRequest{.exchangeId = "p", .term = 7, .members = {{"a", "1:1"}, {"b", "2:2"}}}));
    REQUIRE(promote.ok());
    CHECK(promote->term == 7);
    CHECK(promote->members.at(1).address == "2:2");
    const auto follow = decodeFollowRequest(
        encodeFollowRequest(FollowRequest{.exchangeId = "f", .term = 8, .primary = {"a", "1:1"}}));
    REQUIRE(follow.ok());
    CHECK(follow->primary.name == "a");
    const auto log = decodeLogResponse(encodeLogResponse(
        LogResponse{.exchangeId = "l",
                    .term = 8,
                    .matches = true,
                    .complete = true,
                    .after = {.term = 1, .index = 2},
                    .entries = {{{.term = 8, .index = 3}, {"PUT a 1"}, "shed", "k", "f", "1"}}}));
    REQUIRE(log.ok());
    CHECK(log->complete);
    CHECK(log->entries.at(0).statements.at(0) == "PUT a 1");
    CHECK(log->entries.at(0).fingerprint == "f");
    const auto fault = decodeFaultCommand(encodeFaultCommand(FaultCommand{
        .exchangeId = "x", .kind = FaultKind::Cut, .on = false, .count = 2, .peers = {"a"}}));
    REQUIRE(fault.ok());
    CHECK(fault->kind == FaultKind::Cut);
    CHECK_FALSE(fault->on);
    CHECK(fault->peers.size() == 1);
    const auto fence = encodeFenceResponse(FenceResponse{.accepted = true, .highestTerm = 9}, "x");
    CHECK(decodeFenceResponse(fence, "x")->highestTerm == 9);
    CHECK_FALSE(decodeFenceResponse(fence, "y").ok());
}

} // namespace auburnrail
