#ifndef AUBURNRAIL_CONTROL_HEARTBEATSERVICE_H
#define AUBURNRAIL_CONTROL_HEARTBEATSERVICE_H

#include <control/ControlTables.h>

#include <heartbeat/Heartbeat.h>
#include <heartbeat/HeartbeatAnswer.h>

namespace auburnrail {

/// Answers the heartbeats of entries: renews leases, lends shares, forwards announcements and
/// reports, and hands out state changes. Safe from any thread.
class HeartbeatService
{
public:
    /// `controlTables` must outlive this object.
    explicit HeartbeatService(ControlTables &controlTables);

    /// Answers one heartbeat; may block for its hold limit.
    [[nodiscard]] auto answer(const Heartbeat &heartbeat) -> HeartbeatAnswer;

private:
    [[nodiscard]] auto compose(const Heartbeat &heartbeat) -> HeartbeatAnswer;
    auto takeReports(const Heartbeat &heartbeat, TimePoint now) -> void;
    auto addChanges(Revision applied, HeartbeatAnswer &answer) -> void;

    ControlTables &tables;
};

} // namespace auburnrail

#endif
