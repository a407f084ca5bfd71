#ifndef AUBURNRAIL_STATE_READCONSISTENCY_H
#define AUBURNRAIL_STATE_READCONSISTENCY_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// The commits that a read on a route must see.
enum class ReadConsistency : std::uint8_t {
    Primary,          ///< Every acknowledged commit.
    BoundedStaleness, ///< Every commit that is older than the route's staleness limit.
    ReadYourWrites,   ///< As BoundedStaleness, and every commit of the same session.
};

template <>
inline constexpr auto ENUM_NAMES<ReadConsistency> = std::to_array<EnumName<ReadConsistency>>({
    {ReadConsistency::Primary, "primary"},
    {ReadConsistency::BoundedStaleness, "bounded-staleness"},
    {ReadConsistency::ReadYourWrites, "read-your-writes"},
});

} // namespace auburnrail

#endif
