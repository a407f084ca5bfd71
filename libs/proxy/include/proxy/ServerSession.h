#ifndef AUBURNRAIL_PROXY_SERVERSESSION_H
#define AUBURNRAIL_PROXY_SERVERSESSION_H

#include <proxy/PreparedStatement.h>
#include <proxy/ServerRequest.h>
#include <proxy/SessionValues.h>

#include <map>
#include <optional>
#include <vector>

namespace auburnrail {

/// What a connection to a server holds of the sessions that used it. Connections are shared by
/// sessions one after the other, so a connection is brought to the session's values before a
/// statement runs; prepared statements are shared by what they are, not by the callers' names.
/// Thread rule: one caller at a time, whoever leases the connection.
class ServerSession
{
public:
    /// Prepared statements kept on one connection; beyond them it is reset.
    static constexpr auto MAX_PREPARED = std::size_t(64);

    /// Requests that must succeed, in this order, before a statement with these values, and
    /// `prepared` when it is set, may run. Only outside a transaction may it contain a reset.
    [[nodiscard]] auto preparations(const SessionValues &wanted,
                                    const std::optional<PreparedStatement> &prepared,
                                    bool inTransaction) const -> std::vector<ServerRequest>;

    /// Notes that a request of preparations() succeeded.
    auto applied(const ServerRequest &request) -> void;

    /// Name of the prepared statement on this connection.
    [[nodiscard]] static auto nameOnServer(const PreparedStatement &prepared) -> std::string;

private:
    SessionValues values;
    std::map<std::string, PreparedStatement> preparedByName;
};

} // namespace auburnrail

#endif
