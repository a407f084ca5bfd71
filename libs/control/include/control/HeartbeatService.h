#ifndef AUBURNRAIL_CONTROL_HEARTBEATSERVICE_H
#define AUBURNRAIL_CONTROL_HEARTBEATSERVICE_H

#include <control/ControlTables.h>
#include <control/EntryUpdates.h>

#include <heartbeat/Heartbeat.h>
#include <heartbeat/HeartbeatAnswer.h>

namespace auburnrail {

/// Handles the heartbeats of entries: renews leases, grants shares, processes announcements and
/// reports, and returns state changes. Safe from any thread.
class HeartbeatService
{
public:
    /// `controlTables` must outlive this object.
    explicit HeartbeatService(ControlTables &controlTables);

    /// Handles one heartbeat; may block for the hold limit that it states.
    [[nodiscard]] auto respond(const Heartbeat &heartbeat) -> HeartbeatAnswer;

private:
    [[nodiscard]] auto compose(const Heartbeat &heartbeat) -> HeartbeatAnswer;
    auto processReports(const Heartbeat &heartbeat, TimePoint now) -> void;

    ControlTables &tables;
    EntryUpdates updates;
};

} // namespace auburnrail

#endif
