#ifndef AUBURNRAIL_REQUEST_ACCESSMODE_H
#define AUBURNRAIL_REQUEST_ACCESSMODE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Whether a statement reads or writes data, as declared by the caller.
enum class AccessMode : std::uint8_t {
    Read,
    Write,
};

template <>
inline constexpr auto ENUM_NAMES<AccessMode> = std::to_array<EnumName<AccessMode>>({
    {AccessMode::Read, "read"},
    {AccessMode::Write, "write"},
});

} // namespace auburnrail

#endif
