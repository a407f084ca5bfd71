#ifndef AUBURNRAIL_QUOTA_DETAIL_LIMITUSER_H
#define AUBURNRAIL_QUOTA_DETAIL_LIMITUSER_H

#include <core/Time.h>

#include <cstdint>

namespace auburnrail::detail {

/// A holder whose requests use the limits of one organisation.
struct LimitUser
{
    TimePoint seenAt;        ///< Last report of a demand or request for tokens.
    TimePoint askedAt;       ///< Last request for tokens.
    std::uint32_t unmet = 0; ///< Tokens of that request that were not granted.
};

} // namespace auburnrail::detail

#endif
