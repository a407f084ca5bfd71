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

    // Not defaulted: clang-tidy 14 reports the comparison with zero inside a defaulted one.
    auto operator<=>(const Position &other) const -> std::strong_ordering
    {
        return this->term == other.term ? this->index <=> other.index : this->term <=> other.term;
    }

    auto operator==(const Position &) const -> bool = default;
};

} // namespace auburnrail

#endif
