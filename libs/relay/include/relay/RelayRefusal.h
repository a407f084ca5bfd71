#ifndef AUBURNRAIL_RELAY_RELAYREFUSAL_H
#define AUBURNRAIL_RELAY_RELAYREFUSAL_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Why a holder did not send a request to the server.
enum class RelayRefusal : std::uint8_t {
    None,
    Overloaded,   ///< Too many requests wait at the holder.
    NoConnection, ///< None could be opened or became free in time.
    TooLate,      ///< The time to start the statement passed before it could be sent.
    NoLease,      ///< The holder is cut off from control.
    Outdated,     ///< The holder's state doesn't show the server in the role that was asked for.
    ShuttingDown,
};

template <>
inline constexpr auto ENUM_NAMES<RelayRefusal> = std::to_array<EnumName<RelayRefusal>>({
    {RelayRefusal::None, "none"},
    {RelayRefusal::Overloaded, "overloaded"},
    {RelayRefusal::NoConnection, "no-connection"},
    {RelayRefusal::TooLate, "too-late"},
    {RelayRefusal::NoLease, "no-lease"},
    {RelayRefusal::Outdated, "outdated"},
    {RelayRefusal::ShuttingDown, "shutting-down"},
});

/// Whether another holder, or the entry itself, may do better than the one that refused.
[[nodiscard]] constexpr auto concernsHolder(RelayRefusal refusal) -> bool
{
    return refusal == RelayRefusal::NoLease || refusal == RelayRefusal::Outdated
           || refusal == RelayRefusal::ShuttingDown;
}

} // namespace auburnrail

#endif
