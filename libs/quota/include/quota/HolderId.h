#ifndef AUBURNRAIL_QUOTA_HOLDERID_H
#define AUBURNRAIL_QUOTA_HOLDERID_H

#include <cstdint>
#include <string>
#include <tuple>

namespace auburnrail {

/// Identifies one run of an entry process that holds shares. A restarted entry has a new
/// incarnation and counts as another holder: shares of its earlier run are reclaimed only when that
/// run's lease has ended.
struct HolderId
{
    std::string instance;
    std::uint64_t incarnation = 0;

    auto operator==(const HolderId &) const -> bool = default;

    auto operator<(const HolderId &other) const -> bool
    {
        return std::tie(this->instance, this->incarnation)
               < std::tie(other.instance, other.incarnation);
    }
};

} // namespace auburnrail

#endif
