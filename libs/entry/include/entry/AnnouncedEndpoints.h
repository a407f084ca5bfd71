#ifndef AUBURNRAIL_ENTRY_ANNOUNCEDENDPOINTS_H
#define AUBURNRAIL_ENTRY_ANNOUNCEDENDPOINTS_H

#include <endpoint/Announcement.h>

#include <core/RankedMutex.h>

#include <map>
#include <optional>
#include <string>

namespace auburnrail {

/// Last announcement of each endpoint. Safe from any thread.
class AnnouncedEndpoints
{
public:
    auto record(Announcement announcement) -> void;

    /// The primary of `group` with the highest term, unless it is leaving.
    [[nodiscard]] auto primaryOf(const std::string &group) -> std::optional<Announcement>;

private:
    RankedMutex mutex{LockRank::EndpointTable};
    std::map<std::string, Announcement> endpoints ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
