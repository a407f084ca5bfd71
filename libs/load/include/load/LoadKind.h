#ifndef AUBURNRAIL_LOAD_LOADKIND_H
#define AUBURNRAIL_LOAD_LOADKIND_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What a planned request does.
enum class LoadKind : std::uint8_t {
    Read,        ///< Reads the session's value; must contain its acknowledged writes.
    AgedRead,    ///< The same with a stated age.
    Write,       ///< APPEND of a unique id with an idempotency key.
    Transaction, ///< Begin, two APPENDs of one id, commit.
};

template <>
inline constexpr auto ENUM_NAMES<LoadKind> = std::to_array<EnumName<LoadKind>>({
    {LoadKind::Read, "read"},
    {LoadKind::AgedRead, "aged-read"},
    {LoadKind::Write, "write"},
    {LoadKind::Transaction, "transaction"},
});

} // namespace auburnrail

#endif
