#ifndef AUBURNRAIL_REQUEST_TRANSACTIONHOOKS_H
#define AUBURNRAIL_REQUEST_TRANSACTIONHOOKS_H

#include <request/PinnedTransaction.h>

#include <functional>

namespace auburnrail {

/// Side effects of a TransactionTable.
struct TransactionHooks
{
    /// Closes the connection of a transaction that ended without commit or rollback; the endpoint
    /// rolls it back when the connection closes.
    std::function<auto(const PinnedTransaction &transaction)->void> abandon;
};

} // namespace auburnrail

#endif
