#ifndef AUBURNRAIL_REQUEST_CALLERREQUEST_H
#define AUBURNRAIL_REQUEST_CALLERREQUEST_H

#include <request/AccessMode.h>
#include <request/RequestKind.h>

#include <core/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnrail {

/// One request of a caller, independent of the protocol that carried it.
struct CallerRequest
{
    std::string requestId; ///< Caller's id, or one drawn by the entry.
    RequestKind kind = RequestKind::Statement;
    std::string service;
    std::string key; ///< Caller's key; empty when none came. Never logged or forwarded.
    AccessMode mode = AccessMode::Read;
    std::string statement;
    std::string transaction;        ///< Id of the open transaction; empty when there is none.
    std::optional<Duration> maxAge; ///< Greatest age of the data that a read accepts.
    std::string idempotencyKey;     ///< Empty: the request may not be repeated.
    std::string sessionToken;       ///< Opaque token of the caller's last answer; may be empty.
    TimePoint deadline;
    std::uint64_t callerConnection = 0; ///< Closing it ends its transactions; 0: not bound to one.
};

} // namespace auburnrail

#endif
