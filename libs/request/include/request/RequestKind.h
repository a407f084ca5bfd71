#ifndef AUBURNRAIL_REQUEST_REQUESTKIND_H
#define AUBURNRAIL_REQUEST_REQUESTKIND_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Operation that a caller asks for.
enum class RequestKind : std::uint8_t {
    Statement, ///< One statement, inside a transaction when the request names one.
    Begin,
    Commit,
    Rollback,
};

template <>
inline constexpr auto ENUM_NAMES<RequestKind> = std::to_array<EnumName<RequestKind>>({
    {RequestKind::Statement, "statement"},
    {RequestKind::Begin, "begin"},
    {RequestKind::Commit, "commit"},
    {RequestKind::Rollback, "rollback"},
});

} // namespace auburnrail

#endif
