#ifndef AUBURNRAIL_ENDPOINT_CONTROLCODEC_H
#define AUBURNRAIL_ENDPOINT_CONTROLCODEC_H

#include <endpoint/ControlAnswer.h>
#include <endpoint/FaultCommand.h>
#include <endpoint/FenceRequest.h>
#include <endpoint/FollowRequest.h>
#include <endpoint/LogAnswer.h>
#include <endpoint/LogRequest.h>
#include <endpoint/PromoteRequest.h>

#include <failover/FenceResponse.h>

#include <http/HttpRequest.h>
#include <http/HttpResponse.h>

#include <absl/status/statusor.h>

#include <string>

namespace auburnrail {

/// JSON forms of the endpoint protocol's messages that change an endpoint's role, carry its log or
/// set its faults. Decoders return `kInvalidArgument` with the name of the missing or malformed
/// member.

/// POST to /fence.
[[nodiscard]] auto encodeFenceRequest(const FenceRequest &request) -> HttpRequest;
[[nodiscard]] auto decodeFenceRequest(const HttpRequest &request) -> absl::StatusOr<FenceRequest>;

/// POST to /promote.
[[nodiscard]] auto encodePromoteRequest(const PromoteRequest &request) -> HttpRequest;
[[nodiscard]] auto decodePromoteRequest(const HttpRequest &request)
    -> absl::StatusOr<PromoteRequest>;

/// POST to /follow.
[[nodiscard]] auto encodeFollowRequest(const FollowRequest &request) -> HttpRequest;
[[nodiscard]] auto decodeFollowRequest(const HttpRequest &request) -> absl::StatusOr<FollowRequest>;

/// POST to /log.
[[nodiscard]] auto encodeLogRequest(const LogRequest &request) -> HttpRequest;
[[nodiscard]] auto decodeLogRequest(const HttpRequest &request) -> absl::StatusOr<LogRequest>;

/// POST to /fault.
[[nodiscard]] auto encodeFaultCommand(const FaultCommand &request) -> HttpRequest;
[[nodiscard]] auto decodeFaultCommand(const HttpRequest &request) -> absl::StatusOr<FaultCommand>;

[[nodiscard]] auto encodeFenceAnswer(const FenceResponse &answer, const std::string &exchangeId)
    -> HttpResponse;
/// An answer that does not carry `exchangeId` is malformed.
[[nodiscard]] auto decodeFenceAnswer(const HttpResponse &response, const std::string &exchangeId)
    -> absl::StatusOr<FenceResponse>;

[[nodiscard]] auto encodeControlAnswer(const ControlAnswer &answer) -> HttpResponse;
[[nodiscard]] auto decodeControlAnswer(const HttpResponse &response)
    -> absl::StatusOr<ControlAnswer>;

[[nodiscard]] auto encodeLogAnswer(const LogAnswer &answer) -> HttpResponse;
[[nodiscard]] auto decodeLogAnswer(const HttpResponse &response) -> absl::StatusOr<LogAnswer>;

} // namespace auburnrail

#endif
