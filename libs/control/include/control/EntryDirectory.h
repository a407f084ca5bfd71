#ifndef AUBURNRAIL_CONTROL_ENTRYDIRECTORY_H
#define AUBURNRAIL_CONTROL_ENTRYDIRECTORY_H

#include <control/EntryRecord.h>

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <map>
#include <string>
#include <vector>

namespace auburnrail {

/// The entries whose heartbeats this member has answered lately, for operators. Safe from any
/// thread.
class EntryDirectory
{
public:
    /// An entry that was not heard for this long is forgotten.
    static constexpr auto LIFETIME_MS = std::chrono::minutes(10);

    /// Longer than a lease, so that an entry counts for as long as it may serve.
    static constexpr auto LIVE_MS = std::chrono::milliseconds(2500);

    auto record(EntryRecord record) -> void;

    /// Entries of the zone that were heard within LIVE_MS.
    [[nodiscard]] auto countInZone(const std::string &zone, TimePoint now) -> std::size_t;

    /// Entries by name.
    [[nodiscard]] auto list(TimePoint now) -> std::vector<EntryRecord>;

private:
    RankedMutex mutex{LockRank::EntryDirectory};
    std::map<std::string, EntryRecord> records ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
