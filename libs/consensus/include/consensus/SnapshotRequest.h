#ifndef AUBURNRAIL_CONSENSUS_SNAPSHOTREQUEST_H
#define AUBURNRAIL_CONSENSUS_SNAPSHOTREQUEST_H

#include <consensus/Configuration.h>
#include <consensus/LogIndex.h>
#include <consensus/Term.h>
#include <core/Time.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// One chunk of the leader's snapshot, for a member that is behind the start of the leader's log.
struct SnapshotRequest
{
    LogIndex index = 0;
    Term term = 0;
    Configuration configuration;
    std::uint64_t offset = 0; ///< Bytes before this chunk.
    std::string chunk;
    bool last = false;
    Duration sentAt{}; ///< Reading of the leader's clock, only ever read by the leader.

    auto operator==(const SnapshotRequest &) const -> bool = default;
};

} // namespace auburnrail

#endif
