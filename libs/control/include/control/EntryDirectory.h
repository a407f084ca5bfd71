#ifndef AUBURNRAIL_CONTROL_ENTRYDIRECTORY_H
#define AUBURNRAIL_CONTROL_ENTRYDIRECTORY_H

#include <control/EntryRecord.h>

#include <peers/RelayPeer.h>

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace auburnrail {

/// The entries whose heartbeats this member has recently received, for operators. Safe from any
/// thread.
class EntryDirectory
{
public:
    /// An entry that has sent no heartbeat for this long is dropped from the list.
    static constexpr auto LIFETIME_MIN = std::chrono::minutes(10);

    /// Longer than a lease, so that an entry counts as live for as long as it may serve.
    static constexpr auto LIVE_MS = std::chrono::milliseconds(2500);

    /// Relay peers of one zone. The list must not grow with the fleet; the zone's servers accept
    /// few connections for each peer beyond this number.
    static constexpr auto MAX_PEERS_IN_ZONE = std::size_t(32);

    /// A changed list of relay peers is made at most this often, since each entry receives it.
    static constexpr auto PEERS_INTERVAL_MS = std::chrono::milliseconds(500);

    /// A new leader lists no relay peers before most entries had the time for a heartbeat: a
    /// partial list would move organisations to other peers and back. Entries that have just
    /// started have no list meanwhile, and open connections of their own.
    static constexpr auto PEERS_SETTLE_MS = std::chrono::milliseconds(300);

    auto record(EntryRecord record) -> void;

    /// Number of entries of the zone that sent a heartbeat within LIVE_MS.
    [[nodiscard]] auto countInZone(const std::string &zone, TimePoint now) -> std::size_t;

    /// Entries that run statements for others, by zone and name; null while the list settles.
    [[nodiscard]] auto relayPeers(TimePoint now) -> std::shared_ptr<const std::vector<RelayPeer>>;

    /// Entries in the order of their names.
    [[nodiscard]] auto list(TimePoint now) -> std::vector<EntryRecord>;

private:
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto endLife(const EntryRecord &record) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto endOutdatedLives(TimePoint now) -> void;

    RankedMutex mutex{LockRank::EntryDirectory};
    std::map<std::string, EntryRecord> records ABSL_GUARDED_BY(mutex);
    std::set<std::pair<TimePoint, std::string>>
        live ABSL_GUARDED_BY(mutex); ///< Last heartbeat and name of live entries.
    std::map<std::string, std::size_t> liveInZone ABSL_GUARDED_BY(mutex);
    TimePoint collectingSince ABSL_GUARDED_BY(mutex); ///< First record after none was live.
    std::shared_ptr<const std::vector<RelayPeer>> peers ABSL_GUARDED_BY(mutex);
    TimePoint peersMadeAt ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
