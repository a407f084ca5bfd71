#ifndef AUBURNRAIL_OPERATORS_SUBMITSTATUS_H
#define AUBURNRAIL_OPERATORS_SUBMITSTATUS_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What a control member did with a command.
enum class SubmitStatus : std::uint8_t {
    Decided,   ///< The log decided it; the result is known.
    NotLeader, ///< Not run here.
    NotRun,    ///< No leader with a majority; it had no effect.
    Unknown,   ///< It may still take effect; resend the same id.
};

template <>
inline constexpr auto ENUM_NAMES<SubmitStatus> = std::to_array<EnumName<SubmitStatus>>({
    {SubmitStatus::Decided, "decided"},
    {SubmitStatus::NotLeader, "not-leader"},
    {SubmitStatus::NotRun, "not-run"},
    {SubmitStatus::Unknown, "unknown"},
});

} // namespace auburnrail

#endif
