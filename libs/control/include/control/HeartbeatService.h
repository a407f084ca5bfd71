#ifndef AUBURNRAIL_CONTROL_HEARTBEATSERVICE_H
#define AUBURNRAIL_CONTROL_HEARTBEATSERVICE_H

#include <control/ControlTables.h>
#include <control/EntryUpdates.h>

#include <heartbeat/Heartbeat.h>
#include <heartbeat/HeartbeatAnswer.h>

#include <functional>
#include <string>

namespace auburnrail {

/// Handles the heartbeats of entries: renews leases, grants shares, processes announcements and
/// reports, and returns state changes. Safe from any thread.
class HeartbeatService
{
public:
    /// `controlTables` must outlive this object.
    explicit HeartbeatService(ControlTables &controlTables);

    /// Gets the answer to a heartbeat. Runs on any thread.
    using Done = std::function<auto(const HeartbeatAnswer &)->void>;

    /// Handles one heartbeat. Calls `done` at once or within the hold limit that it states.
    auto respond(const Heartbeat &heartbeat, const Done &done) -> void;

private:
    /// What the answer to an accepted heartbeat depends on.
    struct Accepted
    {
        LeaseId lease;
        HolderId holder;
        std::string zone;
        Revision appliedRevision = 0;
        bool wantsPeers = false;
        std::uint64_t peersFingerprint = 0;
        bool mayGrantShares = false;
        TimePoint at;
    };

    auto accept(const Heartbeat &heartbeat, TimePoint now) -> Accepted;
    [[nodiscard]] auto compose(const Accepted &heartbeat) -> HeartbeatAnswer;
    /// The relay peers, if they differ from the list with this fingerprint; else null.
    [[nodiscard]] auto members() const -> std::vector<std::string>;
    [[nodiscard]] auto peersBeyond(std::uint64_t fingerprint, TimePoint now)
        -> std::shared_ptr<const std::vector<RelayPeer>>;
    auto send(const HeartbeatAnswer &answer, const Done &done) -> void;
    auto processReports(const Heartbeat &heartbeat, TimePoint now) -> void;

    ControlTables &tables;
    EntryUpdates updates;
};

} // namespace auburnrail

#endif
