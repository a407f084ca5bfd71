#ifndef AUBURNRAIL_FAILOVER_FAILOVERCAUSE_H
#define AUBURNRAIL_FAILOVER_FAILOVERCAUSE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Why a failover began.
enum class FailoverCause : std::uint8_t {
    Suspicion, ///< Entries can't reach the primary.
    Planned,   ///< An operator asked for it.
    Initial,   ///< The group has never had a primary.
    Resumed,   ///< An earlier leader did not finish it.
};

template <>
inline constexpr auto ENUM_NAMES<FailoverCause> = std::to_array<EnumName<FailoverCause>>({
    {FailoverCause::Suspicion, "suspicion"},
    {FailoverCause::Planned, "planned"},
    {FailoverCause::Initial, "initial"},
    {FailoverCause::Resumed, "resumed"},
});

} // namespace auburnrail

#endif
