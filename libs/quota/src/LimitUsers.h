#ifndef AUBURNRAIL_QUOTA_LIMITUSERS_H
#define AUBURNRAIL_QUOTA_LIMITUSERS_H

#include <quota/HolderId.h>
#include <quota/detail/LimitUser.h>

#include <cstdint>
#include <map>

namespace auburnrail::detail {

/// Tokens that holders other than `holder` wait for, as far as their last requests tell.
struct TokensAwaited
{
    std::uint32_t all = 0;
    std::uint32_t ahead = 0; ///< For requests that began to wait before those of `holder`.
};

/// `turnSince` is that of `holder`.
[[nodiscard]] auto tokensAwaitedByOthers(const std::map<HolderId, LimitUser> &users,
                                         const HolderId &holder, TimePoint turnSince, TimePoint now)
    -> TokensAwaited;

/// The turn of `holder`: the one that it has, or a new one for `wanted` tokens.
[[nodiscard]] auto turnOf(const std::map<HolderId, LimitUser> &users, const HolderId &holder,
                          std::uint32_t wanted, TimePoint now) -> LimitUser;

} // namespace auburnrail::detail

#endif
