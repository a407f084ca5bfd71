#ifndef AUBURNRAIL_CALLERS_CALLERCODEC_H
#define AUBURNRAIL_CALLERS_CALLERCODEC_H

#include <request/CallerResponse.h>
#include <request/CallerRequest.h>

#include <http/HttpRequest.h>
#include <http/HttpResponse.h>

#include <core/Time.h>

#include <string>
#include <variant>

namespace auburnrail {

/// Reads a caller's HTTP request. A malformed one gives the answer to send back instead.
/// `fallbackRequestId` is used when the caller gave none; `now` starts the caller's deadline.
[[nodiscard]] auto decodeCallerRequest(const HttpRequest &request, std::string fallbackRequestId,
                                       TimePoint now) -> std::variant<CallerRequest, CallerResponse>;

/// HTTP form of an answer. The status follows the reason; the body always says the outcome.
[[nodiscard]] auto encodeCallerAnswer(const CallerResponse &answer, const std::string &requestId)
    -> HttpResponse;

/// HTTP form of a request, for clients such as the load tool. `now` is when its deadline counts
/// from.
[[nodiscard]] auto encodeCallerRequest(const CallerRequest &request, TimePoint now) -> HttpRequest;

/// Reads an answer back. Anything that is not an answer of an entry is `unknown`.
[[nodiscard]] auto decodeCallerAnswer(const HttpResponse &response) -> CallerResponse;

} // namespace auburnrail

#endif
