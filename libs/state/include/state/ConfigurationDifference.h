#ifndef AUBURNRAIL_STATE_CONFIGURATIONDIFFERENCE_H
#define AUBURNRAIL_STATE_CONFIGURATIONDIFFERENCE_H

#include <state/ObjectKind.h>

#include <core/EnumTable.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// How an object of one configuration differs from that of another.
enum class DifferenceKind : std::uint8_t {
    Added,
    Removed,
    Changed,
};

template <>
inline constexpr auto ENUM_NAMES<DifferenceKind> = std::to_array<EnumName<DifferenceKind>>({
    {DifferenceKind::Added, "added"},
    {DifferenceKind::Removed, "removed"},
    {DifferenceKind::Changed, "changed"},
});

/// An object that differs between two configurations.
struct ConfigurationDifference
{
    DifferenceKind difference = DifferenceKind::Changed;
    ObjectKind kind = ObjectKind::Service;
    std::string name;
    std::vector<std::string> fields; ///< Changed: `field: old -> new`, without secrets.

    auto operator==(const ConfigurationDifference &) const -> bool = default;
};

} // namespace auburnrail

#endif
