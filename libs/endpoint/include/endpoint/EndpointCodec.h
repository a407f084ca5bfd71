#ifndef AUBURNRAIL_ENDPOINT_ENDPOINTCODEC_H
#define AUBURNRAIL_ENDPOINT_ENDPOINTCODEC_H

#include <endpoint/Announcement.h>

#include <request/EndpointRequest.h>
#include <request/EndpointResponse.h>

#include <http/HttpRequest.h>
#include <http/HttpResponse.h>

#include <absl/status/statusor.h>

namespace auburnrail {

/// JSON encoding of the endpoint protocol's requests, responses and announcements. Decoders
/// return `kInvalidArgument` with the name of the missing or malformed member.

/// POST to the path that consists of the operation's name.
[[nodiscard]] auto encodeEndpointRequest(const EndpointRequest &request) -> HttpRequest;
[[nodiscard]] auto decodeEndpointRequest(const HttpRequest &request)
    -> absl::StatusOr<EndpointRequest>;

[[nodiscard]] auto encodeEndpointResponse(const EndpointResponse &response) -> HttpResponse;
[[nodiscard]] auto decodeEndpointResponse(const HttpResponse &httpResponse)
    -> absl::StatusOr<EndpointResponse>;

/// POST to the path /v1/announcements of an entry.
[[nodiscard]] auto encodeAnnouncement(const Announcement &announcement) -> HttpRequest;
[[nodiscard]] auto decodeAnnouncement(const HttpRequest &request) -> absl::StatusOr<Announcement>;

} // namespace auburnrail

#endif
