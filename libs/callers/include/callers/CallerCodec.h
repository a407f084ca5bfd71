#ifndef AUBURNRAIL_CALLERS_CALLERCODEC_H
#define AUBURNRAIL_CALLERS_CALLERCODEC_H

#include <request/CallerRequest.h>
#include <request/CallerResponse.h>

#include <http/HttpRequest.h>
#include <http/HttpResponse.h>

#include <core/Time.h>

#include <string>
#include <variant>

namespace auburnrail {

/// Decodes a caller's HTTP request. If it is malformed, returns the response to send back instead.
/// `fallbackRequestId` is used if the caller sent no id; the deadline counts from `now`.
[[nodiscard]] auto decodeCallerRequest(const HttpRequest &request, std::string fallbackRequestId,
                                       TimePoint now)
    -> std::variant<CallerRequest, CallerResponse>;

/// Encodes a response. The reason determines the status; the body always contains the outcome.
[[nodiscard]] auto encodeCallerResponse(const CallerResponse &response,
                                        const std::string &requestId) -> HttpResponse;

/// Encodes a request, for programs such as the load tool. The deadline counts from `now`.
[[nodiscard]] auto encodeCallerRequest(const CallerRequest &request, TimePoint now) -> HttpRequest;

/// Decodes a response. Anything that is not a response of an entry has the outcome Unknown.
[[nodiscard]] auto decodeCallerResponse(const HttpResponse &httpResponse) -> CallerResponse;

} // namespace auburnrail

#endif
