#ifndef AUBURNRAIL_ENTRY_HEARTBEATLOOPHOOKS_H
#define AUBURNRAIL_ENTRY_HEARTBEATLOOPHOOKS_H

#include <heartbeat/Heartbeat.h>
#include <heartbeat/HeartbeatAnswer.h>

#include <core/Time.h>
#include <core/WallClock.h>

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

namespace auburnrail {

/// Returns the names of the control members that the settings name at present.
using MemberReader = std::function<auto()->std::vector<std::string>>;

/// Transport of a HeartbeatLoop to control members, and its clock.
struct HeartbeatLoopHooks
{
    /// Sends to the member `name` and waits up to `timeLimit` for its response.
    std::function<auto(const std::string &name, const Heartbeat &heartbeat, Duration timeLimit)
                      ->absl::StatusOr<HeartbeatAnswer>>
        send;

    WallClock wallClock;
    bool learnsMembers = false; ///< `send` accepts any member name that another member gives.

    /// Reads the members again that the settings name, for the case that none of the known ones
    /// grants a lease: all may have been replaced. May be empty: they never change.
    MemberReader rereadMembers;
};

} // namespace auburnrail

#endif
