#ifndef AUBURNRAIL_ENTRY_HEARTBEATLOOP_H
#define AUBURNRAIL_ENTRY_HEARTBEATLOOP_H

#include <entry/BurnSender.h>
#include <entry/EntryTables.h>
#include <entry/HeartbeatLoopHooks.h>
#include <entry/MemberChoice.h>

#include <settings/MemberAddress.h>

#include <core/RankedCondition.h>
#include <core/RankedMutex.h>

#include <string>
#include <thread>
#include <vector>

namespace auburnrail {

/// Keeps the entry's lease: sends a heartbeat to the control leader, waits for the response, which
/// the leader may hold until there is a newer revision, applies it and sends the next heartbeat.
/// Runs on its own thread.
class HeartbeatLoop
{
public:
    /// `entryTables` must outlive this object.
    HeartbeatLoop(EntryTables &entryTables, const std::vector<MemberAddress> &controlMembers,
                  HeartbeatLoopHooks loopHooks);
    HeartbeatLoop(const HeartbeatLoop &) = delete;
    auto operator=(const HeartbeatLoop &) -> HeartbeatLoop & = delete;

    /// Calls stop().
    ~HeartbeatLoop();

    auto start() -> void;

    /// Stops the loop after the current heartbeat.
    auto stop() -> void;

    /// Name of the member that granted the lease last; empty before the first grant. Safe from any
    /// thread.
    [[nodiscard]] auto leader() -> std::string;

private:
    auto run() -> void;

    /// True when the lease was renewed.
    [[nodiscard]] auto sendHeartbeat() -> bool;
    [[nodiscard]] auto compose(Revision revision, Duration holdLimit) -> Heartbeat;
    [[nodiscard]] auto primaryReports(const FleetObjects &state) -> std::vector<PrimaryReport>;
    [[nodiscard]] auto hasRecentResponse(const std::string &endpoint, TimePoint now) -> bool;
    [[nodiscard]] auto apply(const HeartbeatAnswer &response) -> bool;
    /// Logs when the lease is newly granted or lost.
    auto logLeaseChange(bool renewed, const std::string &member, const std::string &outcome)
        -> void;
    auto setLeader(const std::string &member) -> void;
    auto rereadMembersIfNeeded() -> void;
    [[nodiscard]] auto pauseUnlessStopped(Duration length) -> bool;

    EntryTables &tables;
    MemberChoice members; ///< Used by the thread only.
    TimePoint nextReread; ///< Earliest time of the next reading of the settings; as `members`.
    HeartbeatLoopHooks hooks;
    BurnSender burnSender;  ///< Used by the thread only.
    bool heldLease = false; ///< As last logged; used by the thread only.
    RankedMutex mutex{LockRank::WorkerQueue};
    RankedCondition stopped;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::string lastGrantor ABSL_GUARDED_BY(mutex);
    std::thread thread;
};

} // namespace auburnrail

#endif
