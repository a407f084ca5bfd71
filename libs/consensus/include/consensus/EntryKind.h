#ifndef AUBURNRAIL_CONSENSUS_ENTRYKIND_H
#define AUBURNRAIL_CONSENSUS_ENTRYKIND_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What a log entry carries.
enum class EntryKind : std::uint8_t {
    Noop,          ///< Start of a leader's term.
    Command,       ///< Payload of the caller.
    Configuration, ///< Change of one voter.
};

template <>
inline constexpr auto ENUM_NAMES<EntryKind> = std::to_array<EnumName<EntryKind>>({
    {EntryKind::Noop, "noop"},
    {EntryKind::Command, "command"},
    {EntryKind::Configuration, "configuration"},
});

} // namespace auburnrail

#endif
