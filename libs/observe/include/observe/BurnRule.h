#ifndef AUBURNRAIL_OBSERVE_BURNRULE_H
#define AUBURNRAIL_OBSERVE_BURNRULE_H

#include <observe/BurnWidth.h>

#include <array>
#include <string_view>

namespace auburnrail {

/// A fast and a slow window that both have to burn at `factor` times the sustainable rate: the long
/// window shows that it matters, the short one that it still goes on (multiwindow, multi-burn-rate
/// alerts of "The Site Reliability Workbook", Google 2018, chapter 5).
struct BurnRule
{
    std::string_view name;
    BurnWidth width = BurnWidth::Minute;
    int shortBuckets = 0;
    int longBuckets = 0;
    double factor = 0;
};

/// 14.4 spends 2 % of a 30-day budget in one hour, 6 spends 5 % in six hours.
inline constexpr auto BURN_RULES = std::to_array<BurnRule>({
    {"5m/1h", BurnWidth::Minute, 5, 60, 14.4},
    {"30m/6h", BurnWidth::TenMinutes, 3, 36, 6.0},
});

} // namespace auburnrail

#endif
