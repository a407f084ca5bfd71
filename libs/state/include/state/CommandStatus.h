#ifndef AUBURNRAIL_STATE_COMMANDSTATUS_H
#define AUBURNRAIL_STATE_COMMANDSTATUS_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// How a command ended. Only Applied changed the state.
enum class CommandStatus : std::uint8_t {
    Applied,
    Conflict, ///< The object is not at the expected revision.
    NotFound, ///< The object, or one it refers to, does not exist.
    AlreadyExists,
    InUse,     ///< Other objects refer to the object.
    WrongTerm, ///< The term or phase of the group does not permit it.
    Invalid,   ///< A value is out of its limits.
    TooOld,    ///< The base revision is older than the command memory: not run.
};

template <>
inline constexpr auto ENUM_NAMES<CommandStatus> = std::to_array<EnumName<CommandStatus>>({
    {CommandStatus::Applied, "applied"},
    {CommandStatus::Conflict, "conflict"},
    {CommandStatus::NotFound, "not-found"},
    {CommandStatus::AlreadyExists, "already-exists"},
    {CommandStatus::InUse, "in-use"},
    {CommandStatus::WrongTerm, "wrong-term"},
    {CommandStatus::Invalid, "invalid"},
    {CommandStatus::TooOld, "too-old"},
});

} // namespace auburnrail

#endif
