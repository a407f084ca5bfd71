#ifndef AUBURNRAIL_CONTROL_COMMANDWAIT_H
#define AUBURNRAIL_CONTROL_COMMANDWAIT_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What a caller of ControlTables::run waits for.
enum class CommandWait : std::uint8_t {
    Committed,
    InForce, ///< At every entry that holds a lease.
};

template <>
inline constexpr auto ENUM_NAMES<CommandWait> = std::to_array<EnumName<CommandWait>>({
    {CommandWait::Committed, "committed"},
    {CommandWait::InForce, "in-force"},
});

} // namespace auburnrail

#endif
