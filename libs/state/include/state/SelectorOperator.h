#ifndef AUBURNRAIL_STATE_SELECTOROPERATOR_H
#define AUBURNRAIL_STATE_SELECTOROPERATOR_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Test that one term of a selector applies to one label.
enum class SelectorOperator : std::uint8_t {
    Equals,
    NotEquals,
    In,
    NotIn,
    Exists,
    Absent,
};

template <>
inline constexpr auto ENUM_NAMES<SelectorOperator> = std::to_array<EnumName<SelectorOperator>>({
    {SelectorOperator::Equals, "="},
    {SelectorOperator::NotEquals, "!="},
    {SelectorOperator::In, "in"},
    {SelectorOperator::NotIn, "notin"},
    {SelectorOperator::Exists, "exists"},
    {SelectorOperator::Absent, "absent"},
});

} // namespace auburnrail

#endif
