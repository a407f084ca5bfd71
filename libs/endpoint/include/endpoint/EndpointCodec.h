#ifndef AUBURNRAIL_ENDPOINT_ENDPOINTCODEC_H
#define AUBURNRAIL_ENDPOINT_ENDPOINTCODEC_H

#include <endpoint/Announcement.h>

#include <request/EndpointRequest.h>
#include <request/EndpointResponse.h>

#include <http/HttpRequest.h>
#include <http/HttpResponse.h>

#include <absl/status/statusor.h>

namespace auburnrail {

/// JSON forms of the endpoint protocol. Decoders return `kInvalidArgument` with the name of the
/// missing or malformed member.

/// POST to the path named after the operation.
[[nodiscard]] auto encodeEndpointRequest(const EndpointRequest &request) -> HttpRequest;
[[nodiscard]] auto decodeEndpointRequest(const HttpRequest &request)
    -> absl::StatusOr<EndpointRequest>;

[[nodiscard]] auto encodeEndpointAnswer(const EndpointResponse &answer) -> HttpResponse;
[[nodiscard]] auto decodeEndpointAnswer(const HttpResponse &response)
    -> absl::StatusOr<EndpointResponse>;

/// POST to /v1/announcements of an entry.
[[nodiscard]] auto encodeAnnouncement(const Announcement &announcement) -> HttpRequest;
[[nodiscard]] auto decodeAnnouncement(const HttpRequest &request) -> absl::StatusOr<Announcement>;

} // namespace auburnrail

#endif
