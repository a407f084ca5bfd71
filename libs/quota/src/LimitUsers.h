#ifndef AUBURNRAIL_QUOTA_LIMITUSERS_H
#define AUBURNRAIL_QUOTA_LIMITUSERS_H

#include <quota/HolderId.h>
#include <quota/detail/LimitUser.h>

#include <cstdint>
#include <map>

namespace auburnrail::detail {

/// Tokens that holders other than `holder` still wait for, as far as their last requests tell.
[[nodiscard]] auto tokensAwaitedByOthers(const std::map<HolderId, LimitUser> &users,
                                         const HolderId &holder, TimePoint now) -> std::uint32_t;

} // namespace auburnrail::detail

#endif
