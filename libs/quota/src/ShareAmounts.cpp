#include <ShareAmounts.h>

#include <algorithm>
#include <cstdlib>

namespace auburnrail::detail {

namespace {

// A share grows by at least its target divided by this, or not at all.
constexpr auto MIN_GROWTH_DIVISOR = 32;

// A change of more than the share divided by this justifies an extra message.
constexpr auto URGENT_CHANGE_DIVISOR = 8;

} // namespace

auto nextAmount(std::int64_t used, std::int64_t target, std::int64_t others, std::int64_t limit,
                bool granting) -> std::int64_t
{
    if (!granting)
        return used + others > limit ? std::min(used, target) : used;
    if (target <= used)
        return target;
    const auto grown = std::min(target, limit - others);
    const auto worthwhile = used == 0 || grown - used >= target / MIN_GROWTH_DIVISOR;
    return grown > used && worthwhile ? grown : used;
}

auto isUrgent(std::int64_t before, std::int64_t after) -> bool
{
    return std::abs(after - before) > std::max(before, after) / URGENT_CHANGE_DIVISOR;
}

auto wouldBeUrgent(std::int64_t used, std::int64_t target, std::int64_t unallocated) -> bool
{
    return isUrgent(used, target > used
                              ? used + std::clamp<std::int64_t>(unallocated, 0, target - used)
                              : target);
}

} // namespace auburnrail::detail
