#ifndef AUBURNRAIL_CONSENSUS_APPENDREQUEST_H
#define AUBURNRAIL_CONSENSUS_APPENDREQUEST_H

#include <consensus/LogEntry.h>
#include <consensus/LogIndex.h>
#include <consensus/Term.h>
#include <core/Time.h>

#include <vector>

namespace auburnrail {

/// Entries after (previousIndex, previousTerm); without entries it is a heartbeat.
struct AppendRequest
{
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    LogIndex commitIndex = 0;
    Duration sentAt{}; ///< Reading of the leader's clock, only ever read by the leader.
    std::vector<LogEntry> entries;

    auto operator==(const AppendRequest &) const -> bool = default;
};

} // namespace auburnrail

#endif
