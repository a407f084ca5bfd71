#ifndef AUBURNRAIL_ROUTING_BREAKERSTATE_H
#define AUBURNRAIL_ROUTING_BREAKERSTATE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// State of a circuit breaker.
enum class BreakerState : std::uint8_t {
    Closed,
    Open,     ///< No requests until the open time has passed.
    HalfOpen, ///< One exchange at a time, as a trial.
};

template <>
inline constexpr auto ENUM_NAMES<BreakerState> = std::to_array<EnumName<BreakerState>>({
    {BreakerState::Closed, "closed"},
    {BreakerState::Open, "open"},
    {BreakerState::HalfOpen, "half-open"},
});

} // namespace auburnrail

#endif
