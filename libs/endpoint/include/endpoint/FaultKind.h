#ifndef AUBURNRAIL_ENDPOINT_FAULTKIND_H
#define AUBURNRAIL_ENDPOINT_FAULTKIND_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Kind of fault that a FaultCommand injects. The names are part of the endpoint protocol.
enum class FaultKind : std::uint8_t {
    Freeze,    ///< While `on`, requests get no response; the held ones run once it is off.
    Cut,       ///< While `on`, the peers in `peers` ("*": all) get no response.
    Late,      ///< The next `count` responses are delayed by `length`.
    Crossed,   ///< The next `count` responses carry the previous exchange's id and result.
    Truncated, ///< The next `count` responses are cut off before their end.
    Crash,     ///< The process exits immediately.
    Reset,     ///< All data and terms are lost, as on a rebuilt server.
    Lag,       ///< Replicated entries are applied `length` late.
    Leaving,   ///< While `on`, the endpoint announces that it is leaving.
    Delay,     ///< Every exchange takes `length` longer, as over a long network path.
    Record,    ///< While `on`, received requests are kept for GET /fault/received.
};

template <>
inline constexpr auto ENUM_NAMES<FaultKind> = std::to_array<EnumName<FaultKind>>({
    {FaultKind::Freeze, "freeze"},
    {FaultKind::Cut, "cut"},
    {FaultKind::Late, "late"},
    {FaultKind::Crossed, "crossed"},
    {FaultKind::Truncated, "truncated"},
    {FaultKind::Crash, "crash"},
    {FaultKind::Reset, "reset"},
    {FaultKind::Lag, "lag"},
    {FaultKind::Leaving, "leaving"},
    {FaultKind::Delay, "delay"},
    {FaultKind::Record, "record"},
});

} // namespace auburnrail

#endif
