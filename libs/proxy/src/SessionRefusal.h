#ifndef AUBURNRAIL_PROXY_SESSIONREFUSAL_H
#define AUBURNRAIL_PROXY_SESSIONREFUSAL_H

#include <proxy/StatementFailure.h>

#include <core/ReasonCode.h>

namespace auburnrail::detail {

/// Failure that a client receives when its database, key or route does not permit an operation.
[[nodiscard]] inline auto refusalOf(ReasonCode reason) -> StatementFailure
{
    const auto error = reason == ReasonCode::UnknownService ? StatementError::UnknownDatabase
                                                            : StatementError::Unauthorised;
    return StatementFailure{error, std::string(nameOf(reason))};
}

} // namespace auburnrail::detail

#endif
