#ifndef AUBURNRAIL_FAILOVER_ACKNOWLEDGEDGAP_H
#define AUBURNRAIL_FAILOVER_ACKNOWLEDGEDGAP_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Why the highest position that entries have acknowledged isn't known.
enum class AcknowledgedGap : std::uint8_t {
    None,           ///< It is known, or not needed.
    ReportsMissing, ///< Entries that held a lease have not reported yet.
    LeaseEnded,     ///< A lease ended before its entry reported, or its end isn't known.
};

template <>
inline constexpr auto ENUM_NAMES<AcknowledgedGap> = std::to_array<EnumName<AcknowledgedGap>>({
    {AcknowledgedGap::None, "none"},
    {AcknowledgedGap::ReportsMissing, "reports-missing"},
    {AcknowledgedGap::LeaseEnded, "lease-ended"},
});

} // namespace auburnrail

#endif
