#ifndef AUBURNRAIL_FAILOVER_GROUPPHASE_H
#define AUBURNRAIL_FAILOVER_GROUPPHASE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Phase of a group in the fleet state.
enum class GroupPhase : std::uint8_t {
    Serving, ///< The primary of the term may be used; a new group has none.
    Fencing, ///< The term is granted, its primary is not published.
};

template <>
inline constexpr auto ENUM_NAMES<GroupPhase> = std::to_array<EnumName<GroupPhase>>({
    {GroupPhase::Serving, "serving"},
    {GroupPhase::Fencing, "fencing"},
});

} // namespace auburnrail

#endif
