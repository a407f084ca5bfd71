#ifndef AUBURNRAIL_QUOTA_LIMITUSERS_H
#define AUBURNRAIL_QUOTA_LIMITUSERS_H

#include <quota/HolderId.h>
#include <quota/detail/LimitUser.h>

#include <cstdint>
#include <map>

namespace auburnrail::detail {

/// Holders other than `holder` that wait for a token, as far as their last requests tell. Each gets
/// one token in turn, in the order in which they began to wait.
struct OtherWaiters
{
    std::uint32_t all = 0;
    std::uint32_t ahead = 0; ///< Of these, began to wait before `holder`.
};

/// `turnSince` is when `holder` began to wait.
[[nodiscard]] auto countOtherWaiters(const std::map<HolderId, LimitUser> &users,
                                     const HolderId &holder, TimePoint turnSince, TimePoint now)
    -> OtherWaiters;

/// Since when the holder has waited for its next token: from now on unless it waited before.
[[nodiscard]] auto turnOf(const std::map<HolderId, LimitUser> &users, const HolderId &holder,
                          TimePoint now) -> TimePoint;

} // namespace auburnrail::detail

#endif
