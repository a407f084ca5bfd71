#ifndef AUBURNRAIL_REQUEST_ENDPOINTOPERATION_H
#define AUBURNRAIL_REQUEST_ENDPOINTOPERATION_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Operation on one connection to an endpoint. The names are the paths of the endpoint protocol.
enum class EndpointOperation : std::uint8_t {
    Connect, ///< Opens the database session of the connection.
    Execute,
    Begin,
    Commit,
    Rollback,
    Status,
    Await, ///< Responds once the endpoint has reached a position, or after a time limit.
};

template <>
inline constexpr auto ENUM_NAMES<EndpointOperation> = std::to_array<EnumName<EndpointOperation>>({
    {EndpointOperation::Connect, "connect"},
    {EndpointOperation::Execute, "execute"},
    {EndpointOperation::Begin, "begin"},
    {EndpointOperation::Commit, "commit"},
    {EndpointOperation::Rollback, "rollback"},
    {EndpointOperation::Status, "status"},
    {EndpointOperation::Await, "await"},
});

} // namespace auburnrail

#endif
