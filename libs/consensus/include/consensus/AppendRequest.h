#ifndef AUBURNRAIL_CONSENSUS_APPENDREQUEST_H
#define AUBURNRAIL_CONSENSUS_APPENDREQUEST_H

#include <consensus/LogEntry.h>
#include <consensus/LogIndex.h>
#include <consensus/Term.h>
#include <core/Time.h>

#include <vector>

namespace auburnrail {

/// Replicates the entries that follow (previousIndex, previousTerm). Without entries it serves as a
/// heartbeat.
struct AppendRequest
{
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    LogIndex commitIndex = 0;
    Duration sentAt{}; ///< Leader's clock, meaningful to the leader only.
    std::vector<LogEntry> entries;

    auto operator==(const AppendRequest &) const -> bool = default;
};

} // namespace auburnrail

#endif
