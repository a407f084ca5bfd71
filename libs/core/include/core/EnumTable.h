#ifndef AUBURNRAIL_CORE_ENUMTABLE_H
#define AUBURNRAIL_CORE_ENUMTABLE_H

#include <array>
#include <optional>
#include <string_view>

namespace auburnrail {

/// One row of an enumeration's table of names.
template <typename E>
struct EnumName
{
    E value;
    std::string_view name;
};

/// Table of names of the enumeration `E`. Each enumeration that is printed or parsed specialises it
/// next to its definition:
/// `template <> inline constexpr auto ENUM_NAMES<Mode> = std::to_array<EnumName<Mode>>({...});`
template <typename E>
inline constexpr auto ENUM_NAMES = std::array<EnumName<E>, 0>{};

/// Name of `value`, or "invalid" when the table has no row for it.
template <typename E>
[[nodiscard]] constexpr auto nameOf(E value) -> std::string_view
{
    for (const auto &row : ENUM_NAMES<E>) {
        if (row.value == value)
            return row.name;
    }
    return "invalid";
}

/// Value whose name is exactly `name`, or nothing.
template <typename E>
[[nodiscard]] constexpr auto parseName(std::string_view name) -> std::optional<E>
{
    for (const auto &row : ENUM_NAMES<E>) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace auburnrail

#endif
