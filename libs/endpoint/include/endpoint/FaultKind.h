#ifndef AUBURNRAIL_ENDPOINT_FAULTKIND_H
#define AUBURNRAIL_ENDPOINT_FAULTKIND_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Fault that a FaultCommand sets. The names are part of the endpoint protocol.
enum class FaultKind : std::uint8_t {
    Freeze,    ///< `on`: no exchange is answered until it is off; then held ones run.
    Cut,       ///< `on`: peers named in `peers` ("*": all) get no answer.
    Late,      ///< The next `count` answers are held back for `length`.
    Crossed,   ///< The next `count` answers carry the id and result of the exchange before.
    Truncated, ///< The next `count` answers end early.
    Crash,     ///< The process exits at once.
    Reset,     ///< All data and terms are lost, as in a rebuilt server.
    Lag,       ///< Replicated entries are applied after `length`.
    Leaving,   ///< `on`: the endpoint announces that it leaves.
    Delay,     ///< Every exchange takes `length` longer, as over a distance.
    Record,    ///< `on`: received requests are kept for GET /fault/received.
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
