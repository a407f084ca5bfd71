#ifndef AUBURNRAIL_LEASE_LEASESTATUS_H
#define AUBURNRAIL_LEASE_LEASESTATUS_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// The leader's decision on a heartbeat.
enum class LeaseStatus : std::uint8_t {
    Granted,
    NotLeader,     ///< This member is not the leader or has lost contact with the majority.
    LowerRevision, ///< Delayed message: the instance has already reported a higher revision.
};

template <>
inline constexpr auto ENUM_NAMES<LeaseStatus> = std::to_array<EnumName<LeaseStatus>>({
    {LeaseStatus::Granted, "granted"},
    {LeaseStatus::NotLeader, "not-leader"},
    {LeaseStatus::LowerRevision, "lower-revision"},
});

} // namespace auburnrail

#endif
