#ifndef AUBURNRAIL_PROXY_SERVERSESSION_H
#define AUBURNRAIL_PROXY_SERVERSESSION_H

#include <proxy/PreparedStatement.h>
#include <proxy/ServerRequest.h>
#include <proxy/SessionValues.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace auburnrail {

/// Session state that a connection to a server has accumulated. Sessions use a connection one after
/// the other, so the connection is set to the values of the current session before a statement
/// runs. Prepared statements are shared between sessions and identified by their content, not by
/// the names that clients gave them. On the connection each has a name that the proxy assigned, so
/// that no text of a client stands where a server expects a name. Not thread-safe: used only by the
/// current holder of the connection's lease.
class ServerSession
{
public:
    /// Prepared statements kept on one connection, and the bytes of their shapes. A full connection
    /// is reset before its next use outside a transaction.
    static constexpr auto MAX_PREPARED = std::size_t(64);
    static constexpr auto MAX_PREPARED_BYTES = std::size_t(256) * 1024;

    /// Returns the requests that must succeed, in this order, before a statement may run with the
    /// `wanted` values and, when set, the `prepared` statement. Contains a reset only outside a
    /// transaction.
    [[nodiscard]] auto preparations(const SessionValues &wanted,
                                    const std::optional<PreparedStatement> &prepared,
                                    bool inTransaction) const -> std::vector<ServerRequest>;

    /// Records that a request from preparations() succeeded.
    auto applied(const ServerRequest &request) -> void;

    /// Name of a statement on this connection. Its Prepare request must have succeeded.
    [[nodiscard]] auto nameOnServer(const PreparedStatement &prepared) const -> const std::string &;

private:
    SessionValues values;
    std::map<PreparedStatement, std::string> preparedNames;
    std::size_t preparedBytes = 0;   ///< Of the shapes.
    std::uint64_t assignedNames = 0; ///< Names are not used again after a reset.
};

} // namespace auburnrail

#endif
