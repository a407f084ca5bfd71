#ifndef AUBURNRAIL_FAILOVER_FAILOVERPHASE_H
#define AUBURNRAIL_FAILOVER_FAILOVERPHASE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Step of a failover. Each one's start time is kept for `explain failover`.
enum class FailoverPhase : std::uint8_t {
    Watching,                   ///< No failover is under way.
    GrantingTerm,               ///< The new term is being committed.
    Fencing,                    ///< A majority of the endpoints must accept the new term.
    WaitingForceOrConfirmation, ///< Until no entry can acknowledge for the old term.
    Promoting,                  ///< The most advanced endpoint becomes primary.
    Publishing,                 ///< The new primary is being committed.
};

template <>
inline constexpr auto ENUM_NAMES<FailoverPhase> = std::to_array<EnumName<FailoverPhase>>({
    {FailoverPhase::Watching, "watching"},
    {FailoverPhase::GrantingTerm, "granting-term"},
    {FailoverPhase::Fencing, "fencing"},
    {FailoverPhase::WaitingForceOrConfirmation, "waiting-force-or-confirmation"},
    {FailoverPhase::Promoting, "promoting"},
    {FailoverPhase::Publishing, "publishing"},
});

} // namespace auburnrail

#endif
