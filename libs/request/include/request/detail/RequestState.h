#ifndef AUBURNRAIL_REQUEST_DETAIL_REQUESTSTATE_H
#define AUBURNRAIL_REQUEST_DETAIL_REQUESTSTATE_H

#include <request/CallerAuthorisation.h>
#include <request/ConnectionHandle.h>
#include <request/EndpointRequest.h>
#include <request/GroupView.h>
#include <request/PinnedTransaction.h>

#include <core/Time.h>

#include <session/SessionToken.h>

#include <optional>
#include <string>
#include <vector>

namespace auburnrail::detail {

/// Mutable state of a RequestMachine.
struct RequestState
{
    CallerAuthorisation authorisation;
    GroupView group; ///< As of the current attempt.
    SessionToken session;
    bool sessionKnown = false;
    bool admitted = false;
    bool isolated = false;   ///< Served without a lease.
    bool lease = false;      ///< The entry held its lease at the last check.
    bool waited = false;     ///< The one bounded wait for a replica was used.
    bool awaitFirst = false; ///< Send Await before the read.
    bool mayHaveRun = false; ///< Some attempt sent data and its result is unknown.
    bool finished = false;
    int retries = 0;        ///< Retries after a failure.
    int chargedRetries = 0; ///< Retries that took a token of the retry budget.
    int waits = 0;          ///< Waits for a primary.
    std::string endpoint;
    bool replica = false;              ///< The current endpoint was chosen as a replica.
    std::vector<std::string> excluded; ///< Replicas that were behind or failed.
    std::optional<ConnectionHandle> connection;
    std::optional<PinnedTransaction> transaction;
    TimePoint sentAt;
    std::string exchangeId;
    EndpointOperation operation = EndpointOperation::Execute;
};

} // namespace auburnrail::detail

#endif
