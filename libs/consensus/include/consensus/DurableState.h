#ifndef AUBURNRAIL_CONSENSUS_DURABLESTATE_H
#define AUBURNRAIL_CONSENSUS_DURABLESTATE_H

#include <consensus/ElectionState.h>
#include <consensus/LogEntry.h>
#include <consensus/Snapshot.h>

#include <deque>

namespace auburnrail {

/// Everything that a member persists. A member that starts on an empty disk uses the default value.
struct DurableState
{
    ElectionState election;
    Snapshot snapshot;
    LogIndex firstIndex = 1; ///< Index of the first entry; at most snapshot.index + 1.
    std::deque<LogEntry> entries;
};

} // namespace auburnrail

#endif
