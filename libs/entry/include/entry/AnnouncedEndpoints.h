#ifndef AUBURNRAIL_ENTRY_ANNOUNCEDENDPOINTS_H
#define AUBURNRAIL_ENTRY_ANNOUNCEDENDPOINTS_H

#include <endpoint/Announcement.h>

#include <state/FleetObjects.h>

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <map>
#include <string>
#include <vector>

namespace auburnrail {

/// The latest announcement of each endpoint that announced itself to this entry. Heartbeats pass
/// them on to control.
/// Safe from any thread.
class AnnouncedEndpoints
{
public:
    /// An announcement that is not repeated within this time is discarded.
    static constexpr auto LIFETIME_MS = std::chrono::milliseconds(3000);

    auto record(Announcement announcement, TimePoint now) -> void;

    /// Announcements that differ from the fleet state: new endpoints, changed addresses, limits or
    /// labels, and departures. An endpoint that matches the state adds nothing to a heartbeat.
    [[nodiscard]] auto differences(const FleetObjects &state, TimePoint now)
        -> std::vector<Announcement>;

private:
    struct Entry
    {
        Announcement announcement;
        TimePoint receivedAt;
    };

    RankedMutex mutex{LockRank::EndpointTable};
    std::map<std::string, Entry> endpoints ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
