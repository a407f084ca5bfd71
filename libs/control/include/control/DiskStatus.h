#ifndef AUBURNRAIL_CONTROL_DISKSTATUS_H
#define AUBURNRAIL_CONTROL_DISKSTATUS_H

#include <core/Time.h>

#include <absl/status/status.h>

namespace auburnrail {

/// State of a control member's disk, reported when it becomes blocked and when it works again.
struct DiskStatus
{
    bool blocked = false;
    Duration age{};         ///< Since the write began that the disk refuses or does not complete.
    absl::Status lastError; ///< Of the last attempt at a write; OK if it was not refused.
};

} // namespace auburnrail

#endif
