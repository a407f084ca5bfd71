#ifndef AUBURNRAIL_OBSERVE_BURNWIDTH_H
#define AUBURNRAIL_OBSERVE_BURNWIDTH_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Widths of the time buckets.
enum class BurnWidth : std::uint8_t {
    Minute,
    TenMinutes,
    Hour,
};

template <>
inline constexpr auto ENUM_NAMES<BurnWidth> = std::to_array<EnumName<BurnWidth>>({
    {BurnWidth::Minute, "minute"},
    {BurnWidth::TenMinutes, "ten-minutes"},
    {BurnWidth::Hour, "hour"},
});

} // namespace auburnrail

#endif
