#ifndef AUBURNRAIL_PROXY_SERVERSESSION_H
#define AUBURNRAIL_PROXY_SERVERSESSION_H

#include <proxy/PreparedStatement.h>
#include <proxy/ServerRequest.h>
#include <proxy/SessionValues.h>

#include <map>
#include <optional>
#include <vector>

namespace auburnrail {

/// Session state that a connection to a server has accumulated. Sessions use a connection one after
/// the other, so the connection is set to the values of the current session before a statement
/// runs. Prepared statements are shared between sessions and identified by their content, not by
/// the names that clients gave them. Not thread-safe: used only by the current holder of the
/// connection's lease.
class ServerSession
{
public:
    /// Prepared statements kept on one connection. A full connection is reset before its next use
    /// outside a transaction.
    static constexpr auto MAX_PREPARED = std::size_t(64);

    /// Returns the requests that must succeed, in this order, before a statement may run with the
    /// `wanted` values and, when set, the `prepared` statement. Contains a reset only outside a
    /// transaction.
    [[nodiscard]] auto preparations(const SessionValues &wanted,
                                    const std::optional<PreparedStatement> &prepared,
                                    bool inTransaction) const -> std::vector<ServerRequest>;

    /// Records that a request from preparations() succeeded.
    auto applied(const ServerRequest &request) -> void;

    /// Name of the prepared statement on this connection.
    [[nodiscard]] static auto nameOnServer(const PreparedStatement &prepared) -> std::string;

private:
    SessionValues values;
    std::map<std::string, PreparedStatement> preparedByName;
};

} // namespace auburnrail

#endif
