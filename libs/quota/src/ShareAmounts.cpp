#include <ShareAmounts.h>

#include <algorithm>
#include <cstdlib>

namespace auburnrail::detail {

namespace {

// A share grows by at least this part of its target, or not at all.
constexpr auto SMALLEST_GROWTH_DIVISOR = 32;

// Changes of more than this part of a share are worth a message of their own.
constexpr auto URGENT_CHANGE_DIVISOR = 8;

} // namespace

auto nextAmount(std::int64_t used, std::int64_t target, std::int64_t others, std::int64_t limit,
                bool lending) -> std::int64_t
{
    if (!lending)
        return used + others > limit ? std::min(used, target) : used;
    if (target <= used)
        return target;
    const auto grown = std::min(target, limit - others);
    const auto worthwhile = used == 0 || grown - used >= target / SMALLEST_GROWTH_DIVISOR;
    return grown > used && worthwhile ? grown : used;
}

auto isUrgent(std::int64_t before, std::int64_t after) -> bool
{
    return std::abs(after - before) > std::max(before, after) / URGENT_CHANGE_DIVISOR;
}

auto wouldBeUrgent(std::int64_t used, std::int64_t target, std::int64_t rest) -> bool
{
    return isUrgent(used, target > used ? used + std::clamp<std::int64_t>(rest, 0, target - used)
                                        : target);
}

} // namespace auburnrail::detail
