#ifndef AUBURNRAIL_WIRE_ENUMCONVERSION_H
#define AUBURNRAIL_WIRE_ENUMCONVERSION_H

#include "DecodeFault.h"

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail::detail {

template <typename E>
[[nodiscard]] auto toWireEnum(E value) -> std::int32_t
{
    return static_cast<std::int32_t>(value);
}

/// Throws DecodeFault for a number that has no row in the enumeration's table.
template <typename E>
[[nodiscard]] auto fromWireEnum(std::int32_t number) -> E
{
    for (const auto &row : ENUM_NAMES<E>) {
        if (static_cast<std::int32_t>(row.value) == number)
            return row.value;
    }
    throw DecodeFault("a number is not in its enumeration");
}

} // namespace auburnrail::detail

#endif
