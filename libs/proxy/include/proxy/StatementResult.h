#ifndef AUBURNRAIL_PROXY_STATEMENTRESULT_H
#define AUBURNRAIL_PROXY_STATEMENTRESULT_H

#include <proxy/PooledConnection.h>
#include <proxy/StatementResponse.h>

namespace auburnrail {

/// Result of a StatementRun.
struct StatementResult
{
    StatementResponse response;
    /// The connection with the open transaction; null when no transaction is open.
    PooledConnectionPointer connection;
    std::string endpoint;       ///< Server that responded or was tried last; empty when none was.
    std::uint32_t attempts = 0; ///< Connections leased to run the statement.
};

} // namespace auburnrail

#endif
