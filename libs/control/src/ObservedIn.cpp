#include "ObservedIn.h"

namespace auburnrail {

auto observedIn(std::uint64_t leadership, const std::vector<StampedPosition> &stamped)
    -> std::vector<ObservedPosition>
{
    auto observed = std::vector<ObservedPosition>();
    for (const auto &[position, after] : stamped) {
        if (after.leadership == leadership)
            observed.push_back({.position = position, .after = after.at});
    }
    return observed;
}

} // namespace auburnrail
