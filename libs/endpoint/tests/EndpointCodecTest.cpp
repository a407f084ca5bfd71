#include <endpoint/EndpointCodec.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace auburnrail {

TEST_CASE("an endpoint request and its answer survive encoding")
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

    const auto answer = decodeEndpointAnswer(encodeEndpointAnswer(
        EndpointAnswer{.exchangeId = "x-1", .refusal = EndpointRefusal::Behind, .primary = true}));
    REQUIRE(answer.ok());
    CHECK(answer->refusal == EndpointRefusal::Behind);
    CHECK(answer->primary);
}

// Guards against a truncated or foreign answer taken for a result.
TEST_CASE("an answer without an exchange id is refused")
{
    CHECK_FALSE(decodeEndpointAnswer(HttpResponse{.body = "{}"}).ok());
    rc::check([](const std::string &body) {
        RC_ASSERT(!decodeEndpointAnswer(HttpResponse{.body = body}).ok());
        RC_ASSERT(!decodeAnnouncement(HttpRequest{.body = body}).ok());
    });
}

} // namespace auburnrail
