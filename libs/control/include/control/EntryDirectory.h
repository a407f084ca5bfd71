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

    auto record(EntryRecord record) -> void;

    /// Entries by name.
    [[nodiscard]] auto list(TimePoint now) -> std::vector<EntryRecord>;

private:
    RankedMutex mutex{LockRank::EntryDirectory};
    std::map<std::string, EntryRecord> records ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
