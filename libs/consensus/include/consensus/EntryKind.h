#ifndef AUBURNRAIL_CONSENSUS_ENTRYKIND_H
#define AUBURNRAIL_CONSENSUS_ENTRYKIND_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Content type of a log entry.
enum class EntryKind : std::uint8_t {
    Noop,          ///< Appended by a leader at the start of its term.
    Command,       ///< Command for the state machine.
    Configuration, ///< Configuration with one voter added or removed.
};

template <>
inline constexpr auto ENUM_NAMES<EntryKind> = std::to_array<EnumName<EntryKind>>({
    {EntryKind::Noop, "noop"},
    {EntryKind::Command, "command"},
    {EntryKind::Configuration, "configuration"},
});

} // namespace auburnrail

#endif
