#ifndef AUBURNRAIL_PROXY_STATEMENTRESPONSE_H
#define AUBURNRAIL_PROXY_STATEMENTRESPONSE_H

#include <proxy/SessionState.h>
#include <proxy/StatementFailure.h>

#include <core/Position.h>

#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// The complete response to one statement, from a server to the proxy or from the proxy to a
/// client.
struct StatementResponse
{
    std::vector<std::string> rows;
    std::string signature; ///< Proof that a server ran the statement; empty when no server did.
    std::optional<StatementFailure> failure;
    bool completed = false;                  ///< A server said that the statement succeeded.
    SessionState state = SessionState::Idle; ///< State after the statement.
    std::optional<Position> position;        ///< Position of the server's log after the statement.

    auto operator==(const StatementResponse &) const -> bool = default;
};

} // namespace auburnrail

#endif
