#ifndef AUBURNRAIL_STANDIN_STANDINROLE_H
#define AUBURNRAIL_STANDIN_STANDINROLE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Role of an emulated server in its group.
enum class StandInRole : std::uint8_t {
    Primary,
    Replica, ///< Pulls the log from its source, if it has one.
    Fenced,  ///< Knows a term and waits for its primary to be named.
};

template <>
inline constexpr auto ENUM_NAMES<StandInRole> = std::to_array<EnumName<StandInRole>>({
    {StandInRole::Primary, "primary"},
    {StandInRole::Replica, "replica"},
    {StandInRole::Fenced, "fenced"},
});

} // namespace auburnrail

#endif
