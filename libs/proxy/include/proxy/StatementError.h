#ifndef AUBURNRAIL_PROXY_STATEMENTERROR_H
#define AUBURNRAIL_PROXY_STATEMENTERROR_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Why a statement or a session was refused or failed. Clients rely on the difference between
/// errors which guarantee that the statement or its transaction had no effect and errors which
/// don't.
enum class StatementError : std::uint8_t {
    Busy,      ///< Not run: no capacity, or no server reachable.
    Aborted,   ///< The transaction is rolled back and has no effect.
    Lagging,   ///< Not run: the server's log has not reached the required position.
    ReadOnly,  ///< Not run: the server is not the primary.
    Misrouted, ///< Not run: the server is not the expected one, or belongs to another service.
    ConnectionLimit,  ///< Not run: the server has reached its connection limit.
    UnknownStatement, ///< Not run: no prepared statement has this name.
    UnknownDatabase,  ///< Not run.
    Unauthorised,     ///< Not run.
    Malformed,        ///< Not run.
    Failed,           ///< The statement ran and failed.
    Timeout,          ///< No response in time; the statement may have run.
    InDoubt,          ///< The statement or commit may have taken effect.
    Unknown,          ///< An error that this version doesn't know; the statement may have run.
};

template <>
inline constexpr auto ENUM_NAMES<StatementError> = std::to_array<EnumName<StatementError>>({
    {StatementError::Busy, "busy"},
    {StatementError::Aborted, "aborted"},
    {StatementError::Lagging, "lagging"},
    {StatementError::ReadOnly, "read-only"},
    {StatementError::Misrouted, "misrouted"},
    {StatementError::ConnectionLimit, "connection-limit"},
    {StatementError::UnknownStatement, "unknown-statement"},
    {StatementError::UnknownDatabase, "unknown-database"},
    {StatementError::Unauthorised, "unauthorised"},
    {StatementError::Malformed, "malformed"},
    {StatementError::Failed, "failed"},
    {StatementError::Timeout, "timeout"},
    {StatementError::InDoubt, "in-doubt"},
    {StatementError::Unknown, "unknown"},
});

/// Whether a server that returns this error did not run the statement, so that it may be sent
/// again.
[[nodiscard]] constexpr auto isNotRun(StatementError error) -> bool
{
    switch (error) {
    case StatementError::Busy:
    case StatementError::Lagging:
    case StatementError::ReadOnly:
    case StatementError::Misrouted:
    case StatementError::ConnectionLimit:
    case StatementError::UnknownStatement:
        return true;
    default:
        return false;
    }
}

} // namespace auburnrail

#endif
