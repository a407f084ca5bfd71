#ifndef AUBURNRAIL_QUOTA_HOLDERID_H
#define AUBURNRAIL_QUOTA_HOLDERID_H

#include <compare>
#include <cstdint>
#include <string>

namespace auburnrail {

/// One run of an entry process that borrows shares. A restarted entry has a new incarnation and so
/// is another holder: what its earlier run held comes back only when that run's lease has ended.
struct HolderId
{
    std::string instance;
    std::uint64_t incarnation = 0;

    auto operator<=>(const HolderId &) const = default;
};

} // namespace auburnrail

#endif
