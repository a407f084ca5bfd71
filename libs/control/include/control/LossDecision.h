#ifndef AUBURNRAIL_CONTROL_LOSSDECISION_H
#define AUBURNRAIL_CONTROL_LOSSDECISION_H

#include <core/EnumTable.h>

#include <absl/status/status.h>

#include <cstdint>

namespace auburnrail {

/// What became of an operator's decision to accept a loss.
enum class LossDecision : std::uint8_t {
    Accepted,
    NotWaiting,    ///< No failover of the group waits for evidence at this member.
    NotFenced,     ///< The endpoint isn't fenced, or is rebuilding.
    OtherPosition, ///< The endpoint is fenced at another position.
};

template <>
inline constexpr auto ENUM_NAMES<LossDecision> = std::to_array<EnumName<LossDecision>>({
    {LossDecision::Accepted, "accepted"},
    {LossDecision::NotWaiting, "not-waiting"},
    {LossDecision::NotFenced, "not-fenced"},
    {LossDecision::OtherPosition, "other-position"},
});

/// `status` is that of FailoverCoordinator::acceptLoss.
[[nodiscard]] inline auto lossDecision(const absl::Status &status) -> LossDecision
{
    if (status.ok())
        return LossDecision::Accepted;
    if (absl::IsNotFound(status))
        return LossDecision::NotFenced;
    return absl::IsAborted(status) ? LossDecision::OtherPosition : LossDecision::NotWaiting;
}

} // namespace auburnrail

#endif
