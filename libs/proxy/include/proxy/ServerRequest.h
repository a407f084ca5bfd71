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
    std::string id;      ///< Id of the client's statement; empty for requests of the proxy itself.
    std::string text;    ///< Forward: the statement.
    std::string name;    ///< SetValue: name of the value. Prepare, Execute: name on the connection.
    std::string value;   ///< SetValue: the value. Execute: the arguments. Prepare: the shape.
    bool writes = false; ///< Prepare: the statement writes when it is run.
    /// A server that has not reached this position refuses with StatementError::Lagging.
    std::optional<Position> minimumPosition;
};

} // namespace auburnrail

#endif
