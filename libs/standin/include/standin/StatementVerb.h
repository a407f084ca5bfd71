#ifndef AUBURNRAIL_STANDIN_STATEMENTVERB_H
#define AUBURNRAIL_STANDIN_STATEMENTVERB_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// First word of a statement.
enum class StatementVerb : std::uint8_t {
    Get,    ///< `GET k`
    Put,    ///< `PUT k v`
    Append, ///< `APPEND k v`
};

template <>
inline constexpr auto ENUM_NAMES<StatementVerb> = std::to_array<EnumName<StatementVerb>>({
    {StatementVerb::Get, "GET"},
    {StatementVerb::Put, "PUT"},
    {StatementVerb::Append, "APPEND"},
});

} // namespace auburnrail

#endif
