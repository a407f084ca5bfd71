#ifndef AUBURNRAIL_QUOTA_DETAIL_LIMITUSER_H
#define AUBURNRAIL_QUOTA_DETAIL_LIMITUSER_H

#include <core/Time.h>

#include <cstdint>

namespace auburnrail::detail {

/// A holder whose requests use the limits of one organisation.
struct LimitUser
{
    TimePoint seenAt;           ///< Last report of a demand or request for tokens.
    TimePoint askedAt;          ///< Last request for tokens.
    std::uint32_t unmet = 0;    ///< Tokens of that request that were not granted.
    TimePoint turnSince;        ///< When the requests of the holder's turn began to wait.
    std::uint32_t turnLeft = 0; ///< Of these, still without a token.
};

} // namespace auburnrail::detail

#endif
