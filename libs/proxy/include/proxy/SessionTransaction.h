#ifndef AUBURNRAIL_PROXY_SESSIONTRANSACTION_H
#define AUBURNRAIL_PROXY_SESSIONTRANSACTION_H

#include <proxy/ServerLink.h>
#include <proxy/TransactionAccess.h>

#include <state/AuthoriseSession.h>

namespace auburnrail {

/// A caller's open transaction.
struct SessionTransaction
{
    std::string openingId; ///< Of the caller's statement that began it.
    TransactionAccess access = TransactionAccess::ReadWrite;
    OperationAuthorisation authorisation; ///< Route and organisation it began with.
    ServerLinkPointer link;               ///< Null until its first statement.
    bool wrote = false;                   ///< A write was sent in it.
    bool rolledBackForIdleness = false;   ///< The caller has not been told yet.
};

} // namespace auburnrail

#endif
