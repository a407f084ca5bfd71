#ifndef AUBURNRAIL_PROXY_SERVERREQUEST_H
#define AUBURNRAIL_PROXY_SERVERREQUEST_H

#include <proxy/ServerOperation.h>

#include <core/Position.h>

#include <optional>
#include <string>

namespace auburnrail {

/// One request to a server.
struct ServerRequest
{
    ServerOperation operation = ServerOperation::Status;
    std::string id;      ///< The caller's; empty for what the proxy asks on its own.
    std::string text;    ///< Forward: the statement.
    std::string name;    ///< SetValue: name of the value. Prepare, Execute: name on the connection.
    std::string value;   ///< SetValue: the value. Execute: the arguments. Prepare: the shape.
    bool writes = false; ///< Prepare: the statement writes when it is run.
    /// The server must hold this position, or refuse with StatementError::Lagging.
    std::optional<Position> minimumPosition;
};

} // namespace auburnrail

#endif
