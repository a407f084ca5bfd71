#ifndef AUBURNRAIL_PROXY_SERVEROPERATION_H
#define AUBURNRAIL_PROXY_SERVEROPERATION_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What the proxy asks of a server on a connection.
enum class ServerOperation : std::uint8_t {
    Forward, ///< A caller's statement, unchanged.
    Execute, ///< A caller's statement on a prepared one, under the name it has on the connection.
    Begin,
    BeginReadOnly,
    Rollback,
    SetValue,
    Prepare,
    ResetSession, ///< Forget values and prepared statements.
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
