#ifndef AUBURNRAIL_PROXY_STATEMENTANSWER_H
#define AUBURNRAIL_PROXY_STATEMENTANSWER_H

#include <proxy/SessionState.h>
#include <proxy/StatementFailure.h>

#include <core/Position.h>

#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// The whole answer to one statement, of a server to the proxy or of the proxy to a caller.
struct StatementAnswer
{
    std::vector<std::string> rows;
    std::string signature; ///< The server's proof that it ran the statement; empty when none did.
    std::optional<StatementFailure> failure;
    SessionState state = SessionState::Idle; ///< After the statement.
    std::optional<Position> position;        ///< Of the server's log after the statement.

    auto operator==(const StatementAnswer &) const -> bool = default;
};

} // namespace auburnrail

#endif
