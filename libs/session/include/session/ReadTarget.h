#ifndef AUBURNRAIL_SESSION_READTARGET_H
#define AUBURNRAIL_SESSION_READTARGET_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Where a read is sent next.
enum class ReadTarget : std::uint8_t {
    Replica, ///< A replica that satisfies the requirements now.
    Wait,    ///< A replica that is expected to satisfy them within the wait limit.
    Primary,
};

template <>
inline constexpr auto ENUM_NAMES<ReadTarget> = std::to_array<EnumName<ReadTarget>>({
    {ReadTarget::Replica, "replica"},
    {ReadTarget::Wait, "wait"},
    {ReadTarget::Primary, "primary"},
});

} // namespace auburnrail

#endif
