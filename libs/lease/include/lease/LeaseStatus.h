#ifndef AUBURNRAIL_LEASE_LEASESTATUS_H
#define AUBURNRAIL_LEASE_LEASESTATUS_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Answer of the leader to a heartbeat.
enum class LeaseStatus : std::uint8_t {
    Granted,
    NotLeader,     ///< This member does not lead, or a majority no longer answers it.
    LowerRevision, ///< A late message: the instance has named a higher revision before.
};

template <>
inline constexpr auto ENUM_NAMES<LeaseStatus> = std::to_array<EnumName<LeaseStatus>>({
    {LeaseStatus::Granted, "granted"},
    {LeaseStatus::NotLeader, "not-leader"},
    {LeaseStatus::LowerRevision, "lower-revision"},
});

} // namespace auburnrail

#endif
