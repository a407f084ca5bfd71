#ifndef AUBURNRAIL_PROXY_SESSIONTRANSACTION_H
#define AUBURNRAIL_PROXY_SESSIONTRANSACTION_H

#include <proxy/PooledConnection.h>
#include <proxy/TransactionAccess.h>

#include <state/AuthoriseSession.h>

namespace auburnrail {

/// The open transaction of a client.
struct SessionTransaction
{
    std::string openingId; ///< Id of the client's statement that began the transaction.
    TransactionAccess access = TransactionAccess::ReadWrite;
    OperationAuthorisation authorisation; ///< Route and organisation at its beginning.
    PooledConnectionPointer connection;   ///< Null until its first statement.
    bool wrote = false;                   ///< It contains a write that was sent to the server.
    bool rolledBackForIdleness =
        false; ///< It was rolled back while idle, and the client has not been told yet.
};

} // namespace auburnrail

#endif
