#ifndef AUBURNRAIL_OPERATORS_VALUETYPE_H
#define AUBURNRAIL_OPERATORS_VALUETYPE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

namespace detail {

/// How the value of an object's option is read.
enum class ValueType : std::uint8_t {
    Text,
    Number,
    Integer,
    Boolean,
};

} // namespace detail

template <>
inline constexpr auto ENUM_NAMES<detail::ValueType> = std::to_array<EnumName<detail::ValueType>>({
    {detail::ValueType::Text, "text"},
    {detail::ValueType::Number, "a number"},
    {detail::ValueType::Integer, "an integer"},
    {detail::ValueType::Boolean, "true or false"},
});

} // namespace auburnrail

#endif
