#ifndef AUBURNRAIL_CONSENSUS_PERSISTBATCH_H
#define AUBURNRAIL_CONSENSUS_PERSISTBATCH_H

#include <consensus/ElectionState.h>
#include <consensus/LogEntry.h>
#include <consensus/LogIndex.h>
#include <consensus/Snapshot.h>

#include <optional>
#include <vector>

namespace auburnrail {

/// Changes to the durable state, to be applied in the order of the fields.
struct PersistBatch
{
    std::optional<ElectionState> election;
    std::optional<Snapshot> snapshot;
    LogIndex keepFrom = 0; ///< With `snapshot`: entries before this index are dropped.
    std::optional<LogIndex> truncateFrom; ///< Entries from this index on are removed.
    LogIndex firstAppended = 0;           ///< Index of the first element of `appended`.
    std::vector<LogEntry> appended;

    [[nodiscard]] auto empty() const -> bool
    {
        return !this->election && !this->snapshot && !this->truncateFrom && this->appended.empty();
    }
};

} // namespace auburnrail

#endif
