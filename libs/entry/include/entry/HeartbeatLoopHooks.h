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

/// How a HeartbeatLoop reaches control members.
struct HeartbeatLoopHooks
{
    /// Sends to the member called `name` and waits for its answer, at most `timeLimit`.
    std::function<auto(const std::string &name, const Heartbeat &heartbeat, Duration timeLimit)
                      ->absl::StatusOr<HeartbeatAnswer>>
        send;

    WallClock wallClock;
    bool learnsMembers = false; ///< `send` takes the name of any member that another one names.
};

} // namespace auburnrail

#endif
