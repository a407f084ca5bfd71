#ifndef AUBURNRAIL_CONTROL_FAILOVEROUTCOME_H
#define AUBURNRAIL_CONTROL_FAILOVEROUTCOME_H

#include <failover/FailoverRecord.h>

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// How a failover ended.
enum class FailoverOutcome : std::uint8_t {
    Replaced, ///< The group has another primary, or its first one.
    Stayed,   ///< The old primary is primary of the new term.
    Ended,    ///< Not completed by this member.
};

template <>
inline constexpr auto ENUM_NAMES<FailoverOutcome> = std::to_array<EnumName<FailoverOutcome>>({
    {FailoverOutcome::Replaced, "replaced"},
    {FailoverOutcome::Stayed, "stayed"},
    {FailoverOutcome::Ended, "ended"},
});

[[nodiscard]] inline auto failoverOutcome(const FailoverRecord &record) -> FailoverOutcome
{
    if (!record.completed)
        return FailoverOutcome::Ended;
    return record.newPrimary == record.oldPrimary ? FailoverOutcome::Stayed
                                                  : FailoverOutcome::Replaced;
}

} // namespace auburnrail

#endif
