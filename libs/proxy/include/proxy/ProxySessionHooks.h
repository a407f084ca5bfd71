#ifndef AUBURNRAIL_PROXY_PROXYSESSIONHOOKS_H
#define AUBURNRAIL_PROXY_PROXYSESSIONHOOKS_H

#include <proxy/OperationAdmission.h>
#include <proxy/StatementHooks.h>
#include <proxy/StatementReport.h>
#include <proxy/StatementResponse.h>
#include <request/AdmissionRequest.h>

#include <state/FleetObjects.h>

#include <functional>
#include <memory>
#include <string>

namespace auburnrail {

/// Functions that the entry and the client's connection provide to a ProxySession.
struct ProxySessionHooks
{
    StatementHooks statements;

    /// The fleet state that this entry has applied.
    std::function<auto()->std::shared_ptr<const FleetObjects>> state;

    /// Takes a token of the organisation's rate limit. Calls `done` during this call or later.
    std::function<auto(const AdmissionRequest &request, OperationAdmitted done)->void> admit;

    /// Rolls back the open transaction of the connection and ends the connection's lease.
    std::function<auto(const PooledConnectionPointer &connection)->void> rollBack;

    // Messages to the client.
    std::function<auto()->void> sendOpened;
    std::function<auto(const StatementResponse &response)->void> sendResponse;
    std::function<auto(const StatementFailure &failure)->void> sendRefusal;
    std::function<auto()->void> close;

    /// Records a statement that ended or a refused session.
    std::function<auto(const StatementReport &report)->void> report;
};

} // namespace auburnrail

#endif
