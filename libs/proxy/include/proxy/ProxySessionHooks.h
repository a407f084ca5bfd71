#ifndef AUBURNRAIL_PROXY_PROXYSESSIONHOOKS_H
#define AUBURNRAIL_PROXY_PROXYSESSIONHOOKS_H

#include <proxy/OperationAdmission.h>
#include <proxy/StatementAnswer.h>
#include <proxy/StatementHooks.h>
#include <proxy/StatementReport.h>
#include <request/AdmissionRequest.h>

#include <state/FleetObjects.h>

#include <functional>
#include <memory>
#include <string>

namespace auburnrail {

/// What a ProxySession needs from its entry and from its caller's connection.
struct ProxySessionHooks
{
    StatementHooks statements;

    /// The fleet state that this entry has applied.
    std::function<auto()->std::shared_ptr<const FleetObjects>> state;

    /// Takes a token of the organisation's rate, now or later.
    std::function<auto(const AdmissionRequest &order, OperationAdmitted done)->void> admit;

    /// Rolls back what is open on the connection and ends its lease.
    std::function<auto(const ServerLinkPointer &link)->void> rollBack;

    // Towards the caller.
    std::function<auto()->void> sendOpened;
    std::function<auto(const StatementAnswer &answer)->void> sendAnswer;
    std::function<auto(const StatementFailure &failure)->void> sendRefusal;
    std::function<auto()->void> close;

    /// Keeps the account of a statement that ended.
    std::function<auto(const StatementReport &report)->void> report;
};

} // namespace auburnrail

#endif
