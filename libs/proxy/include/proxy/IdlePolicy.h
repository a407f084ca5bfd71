#ifndef AUBURNRAIL_PROXY_IDLEPOLICY_H
#define AUBURNRAIL_PROXY_IDLEPOLICY_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What becomes of a connection to a server that no statement needs.
enum class IdlePolicy : std::uint8_t {
    Keep,  ///< It stays open for the next statement of its organisation.
    Close, ///< It is closed, so that another entry can open one.
    Hold,  ///< It stays open for longer than with Keep: this entry runs statements of others on it.
};

template <>
inline constexpr auto ENUM_NAMES<IdlePolicy> = std::to_array<EnumName<IdlePolicy>>({
    {IdlePolicy::Keep, "keep"},
    {IdlePolicy::Close, "close"},
    {IdlePolicy::Hold, "hold"},
});

} // namespace auburnrail

#endif
