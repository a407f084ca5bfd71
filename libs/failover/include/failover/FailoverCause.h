#ifndef AUBURNRAIL_FAILOVER_FAILOVERCAUSE_H
#define AUBURNRAIL_FAILOVER_FAILOVERCAUSE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Why a failover was started.
enum class FailoverCause : std::uint8_t {
    Suspicion, ///< A majority of the reporting entries can't reach the primary.
    Planned,   ///< Requested, for example by an operator.
    Initial,   ///< The group has never had a primary.
    Resumed,   ///< Started but not finished by an earlier leader.
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
