#ifndef AUBURNRAIL_REQUEST_REQUESTREFUSAL_H
#define AUBURNRAIL_REQUEST_REQUESTREFUSAL_H

#include <core/ReasonCode.h>
#include <core/Time.h>

#include <optional>
#include <string>

namespace auburnrail {

/// Refusal of a request before any of it was sent to an endpoint.
struct RequestRefusal
{
    ReasonCode reason = ReasonCode::InternalError;
    std::string message; ///< One sentence for a person.
    std::optional<Duration> retryAfter;
};

} // namespace auburnrail

#endif
