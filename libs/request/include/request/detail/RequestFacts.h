#ifndef AUBURNRAIL_REQUEST_DETAIL_REQUESTFACTS_H
#define AUBURNRAIL_REQUEST_DETAIL_REQUESTFACTS_H

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

/// What a RequestMachine has learned so far.
struct RequestFacts
{
    CallerAuthorisation authorisation;
    GroupView group; ///< As of the current attempt.
    SessionToken session;
    bool sessionKnown = false;
    bool admitted = false;
    bool isolated = false;   ///< Served without a lease.
    bool lease = false;      ///< At the last check.
    bool waited = false;     ///< The bounded wait for a replica is spent.
    bool awaitFirst = false; ///< Send Await before the read.
    bool maybeRan = false;   ///< Some attempt got past its first byte without a known end.
    bool finished = false;
    int retries = 0; ///< Repeats after a failure.
    int charged = 0; ///< Those that took a token of the retry budget.
    int waits = 0;   ///< Waits for a primary.
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
