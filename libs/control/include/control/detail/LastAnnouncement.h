#ifndef AUBURNRAIL_CONTROL_DETAIL_LASTANNOUNCEMENT_H
#define AUBURNRAIL_CONTROL_DETAIL_LASTANNOUNCEMENT_H

#include <core/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnrail::detail {

/// The newest accepted announcement of an endpoint.
struct LastAnnouncement
{
    std::string group;
    std::uint64_t startedAt = 0;
    std::uint64_t sequence = 0;
    bool leaving = false;
    bool gone = false;
    TimePoint at;
    /// When a final departure came from a process that had not announced that it leaves, or from an
    /// earlier one.
    std::optional<TimePoint> unconfirmedDepartureAt;
};

} // namespace auburnrail::detail

#endif
