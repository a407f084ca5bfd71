#ifndef AUBURNRAIL_PROXY_TRANSACTIONACCESS_H
#define AUBURNRAIL_PROXY_TRANSACTIONACCESS_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Access mode of a transaction.
enum class TransactionAccess : std::uint8_t {
    ReadWrite,
    ReadOnly,
};

template <>
inline constexpr auto ENUM_NAMES<TransactionAccess> = std::to_array<EnumName<TransactionAccess>>({
    {TransactionAccess::ReadWrite, "read-write"},
    {TransactionAccess::ReadOnly, "read-only"},
});

} // namespace auburnrail

#endif
