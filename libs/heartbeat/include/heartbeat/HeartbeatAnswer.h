#ifndef AUBURNRAIL_HEARTBEAT_HEARTBEATANSWER_H
#define AUBURNRAIL_HEARTBEAT_HEARTBEATANSWER_H

#include <heartbeat/LeaderStamp.h>
#include <lease/LeaseGrant.h>
#include <peers/RelayPeer.h>
#include <quota/ShareGrant.h>
#include <state/FleetSnapshot.h>
#include <state/FleetUpdate.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Answer to a Heartbeat.
struct HeartbeatAnswer
{
    LeaseGrant lease;
    std::optional<LeaderStamp> stamp; ///< With a granted lease.
    std::uint32_t entries = 0;     ///< Entries that hold a lease, among which limits are divided.
    std::uint32_t zoneEntries = 0; ///< Those of them in the zone of the heartbeat's sender.
    std::string leader;            ///< Name of the leading member, if it is known.
    std::vector<std::string> members; ///< Names of the voting members, as the sender knows them.
    /// Changes after the revision that the heartbeat named.
    std::shared_ptr<const FleetUpdate> update;
    std::shared_ptr<const FleetSnapshot>
        snapshot; ///< Instead of `update` when the copy is too old.
    ShareGrant shares;
    /// The relay peers, if they differ from those that the heartbeat named; else null.
    std::shared_ptr<const std::vector<RelayPeer>> peers;
};

} // namespace auburnrail

#endif
