#ifndef AUBURNRAIL_FAILOVER_DETAIL_PENDINGFOLLOW_H
#define AUBURNRAIL_FAILOVER_DETAIL_PENDINGFOLLOW_H

#include <core/Time.h>

#include <cstddef>
#include <cstdint>

namespace auburnrail::detail {

/// An order to follow the primary of `term` that the endpoint has not confirmed.
struct PendingFollow
{
    std::uint64_t term = 0;
    std::size_t tries = 0;
    TimePoint nextTryAt;
};

} // namespace auburnrail::detail

#endif
