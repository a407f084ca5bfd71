#ifndef AUBURNRAIL_QUOTA_SHARELIMITS_H
#define AUBURNRAIL_QUOTA_SHARELIMITS_H

#include <cstdint>

namespace auburnrail {

/// Fleet-wide limits of one organisation.
struct ShareLimits
{
    std::int64_t rate = 0;  ///< Millitokens per second.
    std::int64_t burst = 0; ///< Millitokens. Below 1000 no request is ever admitted.

    auto operator==(const ShareLimits &) const -> bool = default;
};

} // namespace auburnrail

#endif
