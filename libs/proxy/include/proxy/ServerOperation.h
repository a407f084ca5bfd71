#ifndef AUBURNRAIL_PROXY_SERVEROPERATION_H
#define AUBURNRAIL_PROXY_SERVEROPERATION_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Operations that the proxy requests from a server.
enum class ServerOperation : std::uint8_t {
    Forward, ///< A client's statement, unchanged.
    Execute, ///< Runs a prepared statement for a client, by its name on the connection.
    Begin,
    BeginReadOnly,
    Rollback,
    SetValue,
    Prepare,
    ResetSession, ///< Drops the session values and prepared statements.
    Status,
};

template <>
inline constexpr auto ENUM_NAMES<ServerOperation> = std::to_array<EnumName<ServerOperation>>({
    {ServerOperation::Forward, "forward"},
    {ServerOperation::Execute, "execute"},
    {ServerOperation::Begin, "begin"},
    {ServerOperation::BeginReadOnly, "begin-read-only"},
    {ServerOperation::Rollback, "rollback"},
    {ServerOperation::SetValue, "set-value"},
    {ServerOperation::Prepare, "prepare"},
    {ServerOperation::ResetSession, "reset-session"},
    {ServerOperation::Status, "status"},
});

} // namespace auburnrail

#endif
