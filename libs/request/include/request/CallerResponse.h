#ifndef AUBURNRAIL_REQUEST_CALLERRESPONSE_H
#define AUBURNRAIL_REQUEST_CALLERRESPONSE_H

#include <core/Outcome.h>
#include <core/ReasonCode.h>
#include <core/Time.h>

#include <optional>
#include <string>

namespace auburnrail {

/// Response to a CallerRequest, independent of the protocol that carries it.
struct CallerResponse
{
    Outcome outcome = Outcome::NotRun;
    ReasonCode reason = ReasonCode::InternalError; ///< Completed: `result` is the whole result.
    std::string message;                           ///< One sentence for a person; empty on success.
    std::string result;
    std::string transaction; ///< Id of the transaction that a Begin opened.
    std::string sessionToken;
    std::string endpoint; ///< Name of the endpoint that responded; empty when none did.
    bool servedByReplica = false;
    bool duplicate = false; ///< The result is that of an earlier request with the same key.
    std::optional<Duration> retryAfter;
};

} // namespace auburnrail

#endif
