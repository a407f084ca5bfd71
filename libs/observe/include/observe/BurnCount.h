#ifndef AUBURNRAIL_OBSERVE_BURNCOUNT_H
#define AUBURNRAIL_OBSERVE_BURNCOUNT_H

#include <cstdint>

namespace auburnrail {

/// Numbers of good and bad events.
struct BurnCount
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    auto operator==(const BurnCount &) const -> bool = default;
};

} // namespace auburnrail

#endif
