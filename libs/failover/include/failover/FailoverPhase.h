#ifndef AUBURNRAIL_FAILOVER_FAILOVERPHASE_H
#define AUBURNRAIL_FAILOVER_FAILOVERPHASE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Phase of a failover. The start time of each phase is recorded for `explain failover`.
enum class FailoverPhase : std::uint8_t {
    Watching,     ///< No failover is in progress.
    GrantingTerm, ///< The new term is being committed.
    Fencing,      ///< Waiting until a majority of the endpoints has accepted the new term.
    WaitingForceOrConfirmation, ///< Waiting until no entry can acknowledge writes of the old term.
    Promoting,                  ///< The most advanced endpoint is being made primary.
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
