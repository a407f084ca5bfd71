#ifndef AUBURNRAIL_PROXY_STATEMENTFAILURE_H
#define AUBURNRAIL_PROXY_STATEMENTFAILURE_H

#include <proxy/StatementError.h>

#include <string>

namespace auburnrail {

/// The error that ended a statement.
struct StatementFailure
{
    StatementError error = StatementError::Unknown;
    std::string detail; ///< Human-readable; contains no secrets.

    auto operator==(const StatementFailure &) const -> bool = default;
};

} // namespace auburnrail

#endif
