#ifndef AUBURNRAIL_PROXY_STATEMENTKIND_H
#define AUBURNRAIL_PROXY_STATEMENTKIND_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Kinds of statements that a client can send.
enum class StatementKind : std::uint8_t {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    Execute, ///< Runs a prepared statement.
    Prepare,
    Deallocate,
    SetValue,
    Malformed, ///< Can't be parsed.
};

template <>
inline constexpr auto ENUM_NAMES<StatementKind> = std::to_array<EnumName<StatementKind>>({
    {StatementKind::Begin, "begin"},
    {StatementKind::BeginReadOnly, "begin-read-only"},
    {StatementKind::Commit, "commit"},
    {StatementKind::Rollback, "rollback"},
    {StatementKind::Read, "read"},
    {StatementKind::Write, "write"},
    {StatementKind::Execute, "execute"},
    {StatementKind::Prepare, "prepare"},
    {StatementKind::Deallocate, "deallocate"},
    {StatementKind::SetValue, "set-value"},
    {StatementKind::Malformed, "malformed"},
});

} // namespace auburnrail

#endif
