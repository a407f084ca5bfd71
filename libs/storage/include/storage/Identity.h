#ifndef AUBURNRAIL_STORAGE_IDENTITY_H
#define AUBURNRAIL_STORAGE_IDENTITY_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Whose data a directory holds. Written once, when the directory is formatted.
struct Identity
{
    std::string cluster;
    std::string member;
    std::uint64_t incarnation = 0; ///< 0 for an initial member, otherwise random.

    auto operator==(const Identity &) const -> bool = default;
};

} // namespace auburnrail

#endif
