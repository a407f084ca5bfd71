#ifndef AUBURNRAIL_PROXY_STATEMENTRESULT_H
#define AUBURNRAIL_PROXY_STATEMENTRESULT_H

#include <proxy/ServerLink.h>
#include <proxy/StatementAnswer.h>

namespace auburnrail {

/// How a StatementRun ended.
struct StatementResult
{
    StatementAnswer answer;
    /// The connection that holds the open transaction; null when none is open.
    ServerLinkPointer link;
    std::string endpoint;       ///< That answered or was tried last; empty when none was.
    std::uint32_t attempts = 0; ///< Servers that the statement was brought to.
};

} // namespace auburnrail

#endif
