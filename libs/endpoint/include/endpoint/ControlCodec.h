#ifndef AUBURNRAIL_ENDPOINT_CONTROLCODEC_H
#define AUBURNRAIL_ENDPOINT_CONTROLCODEC_H

#include <endpoint/ControlResponse.h>
#include <endpoint/FaultCommand.h>
#include <endpoint/FenceRequest.h>
#include <endpoint/FollowRequest.h>
#include <endpoint/LogRequest.h>
#include <endpoint/LogResponse.h>
#include <endpoint/PromoteRequest.h>

#include <failover/FenceResponse.h>

#include <http/HttpRequest.h>
#include <http/HttpResponse.h>

#include <absl/status/statusor.h>

#include <string>

namespace auburnrail {

/// JSON encoding of the endpoint protocol's messages that change an endpoint's role, transfer its
/// replication log or inject faults. Decoders return `kInvalidArgument` with the name of the
/// missing or malformed member.

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

[[nodiscard]] auto encodeFenceResponse(const FenceResponse &response, const std::string &exchangeId)
    -> HttpResponse;
/// A response that does not carry `exchangeId` is refused as malformed.
[[nodiscard]] auto decodeFenceResponse(const HttpResponse &httpResponse,
                                       const std::string &exchangeId)
    -> absl::StatusOr<FenceResponse>;

[[nodiscard]] auto encodeControlResponse(const ControlResponse &response) -> HttpResponse;
[[nodiscard]] auto decodeControlResponse(const HttpResponse &httpResponse)
    -> absl::StatusOr<ControlResponse>;

[[nodiscard]] auto encodeLogResponse(const LogResponse &response) -> HttpResponse;
[[nodiscard]] auto decodeLogResponse(const HttpResponse &httpResponse)
    -> absl::StatusOr<LogResponse>;

} // namespace auburnrail

#endif
