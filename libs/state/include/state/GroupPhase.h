#ifndef AUBURNRAIL_STATE_GROUPPHASE_H
#define AUBURNRAIL_STATE_GROUPPHASE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Phase of a group within its current term.
enum class GroupPhase : std::uint8_t {
    Serving, ///< The published primary accepts work.
    Fencing, ///< A new term was granted; no primary of it is published yet.
};

template <>
inline constexpr auto ENUM_NAMES<GroupPhase> = std::to_array<EnumName<GroupPhase>>({
    {GroupPhase::Serving, "serving"},
    {GroupPhase::Fencing, "fencing"},
});

} // namespace auburnrail

#endif
