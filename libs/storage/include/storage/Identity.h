#ifndef AUBURNRAIL_STORAGE_IDENTITY_H
#define AUBURNRAIL_STORAGE_IDENTITY_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Owner of the data in a directory. Written once, when the directory is formatted.
struct Identity
{
    std::string cluster;
    std::string member;
    std::uint64_t incarnation = 0; ///< 0 for a member of a new cluster, otherwise random.

    auto operator==(const Identity &) const -> bool = default;
};

} // namespace auburnrail

#endif
