#ifndef AUBURNRAIL_REQUEST_REQUESTTABLES_H
#define AUBURNRAIL_REQUEST_REQUESTTABLES_H

#include <request/RetryBudget.h>
#include <request/TransactionTable.h>

#include <routing/EndpointTable.h>
#include <session/SessionTokenCodec.h>

namespace auburnrail {

/// Shared tables of an entry, used by its RequestMachines. They must outlive every machine.
struct RequestTables
{
    EndpointTable *endpoints = nullptr;
    RetryBudget *retries = nullptr;
    TransactionTable *transactions = nullptr;
    const SessionTokenCodec *sessions = nullptr;
};

} // namespace auburnrail

#endif
