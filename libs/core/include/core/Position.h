#ifndef AUBURNRAIL_CORE_POSITION_H
#define AUBURNRAIL_CORE_POSITION_H

#include <compare>
#include <cstdint>

namespace auburnrail {

/// Place in a group's replication log: the term of the primary that wrote the last entry, then the
/// entry's index. Ordered by term first, because entries of a replaced primary that never reached
/// the new one may carry higher indexes.
struct Position
{
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
    auto operator<=>(const Position &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace auburnrail

#endif
