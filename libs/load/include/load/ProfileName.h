#ifndef AUBURNRAIL_LOAD_PROFILENAME_H
#define AUBURNRAIL_LOAD_PROFILENAME_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Workload of section 2 of the design.
enum class ProfileName : std::uint8_t {
    Kootenay,
    Waitaki,
};

template <>
inline constexpr auto ENUM_NAMES<ProfileName> = std::to_array<EnumName<ProfileName>>({
    {ProfileName::Kootenay, "kootenay"},
    {ProfileName::Waitaki, "waitaki"},
});

} // namespace auburnrail

#endif
