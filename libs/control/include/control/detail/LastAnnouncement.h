#ifndef AUBURNRAIL_CONTROL_DETAIL_LASTANNOUNCEMENT_H
#define AUBURNRAIL_CONTROL_DETAIL_LASTANNOUNCEMENT_H

#include <core/Time.h>

#include <cstdint>

namespace auburnrail::detail {

/// The newest announcement of an endpoint.
struct LastAnnouncement
{
    std::uint64_t startedAt = 0;
    std::uint64_t sequence = 0;
    bool gone = false;
    TimePoint at;
};

} // namespace auburnrail::detail

#endif
