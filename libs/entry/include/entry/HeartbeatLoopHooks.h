#ifndef AUBURNRAIL_ENTRY_HEARTBEATLOOPHOOKS_H
#define AUBURNRAIL_ENTRY_HEARTBEATLOOPHOOKS_H

#include <heartbeat/Heartbeat.h>
#include <heartbeat/HeartbeatAnswer.h>

#include <core/Time.h>
#include <core/WallClock.h>

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace auburnrail {

/// Transport of a HeartbeatLoop to control members, and its clock.
struct HeartbeatLoopHooks
{
    /// Sends to the member `name` and waits up to `timeLimit` for its response.
    std::function<auto(const std::string &name, const Heartbeat &heartbeat, Duration timeLimit)
                      ->absl::StatusOr<HeartbeatAnswer>>
        send;

    WallClock wallClock;
    bool learnsMembers = false; ///< `send` accepts any member name that another member gives.
};

} // namespace auburnrail

#endif
