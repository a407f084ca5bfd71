#ifndef AUBURNRAIL_PROXY_CLIENTSTATEMENT_H
#define AUBURNRAIL_PROXY_CLIENTSTATEMENT_H

#include <proxy/StatementKind.h>

#include <string>

namespace auburnrail {

/// A decoded statement of a client.
struct ClientStatement
{
    std::string id;
    StatementKind kind = StatementKind::Malformed;
    std::string text;    ///< As the client sent it.
    std::string name;    ///< Name of a prepared statement or of a session value.
    std::string value;   ///< SetValue: the value. Execute: the arguments.
    std::string shape;   ///< Prepare: the text that is prepared.
    bool writes = false; ///< Prepare: the statement writes when it is run.
    std::string problem; ///< Malformed: why the statement can't be run.

    auto operator==(const ClientStatement &) const -> bool = default;
};

} // namespace auburnrail

#endif
