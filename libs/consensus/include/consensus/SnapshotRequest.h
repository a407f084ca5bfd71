#ifndef AUBURNRAIL_CONSENSUS_SNAPSHOTREQUEST_H
#define AUBURNRAIL_CONSENSUS_SNAPSHOTREQUEST_H

#include <consensus/Configuration.h>
#include <consensus/LogIndex.h>
#include <consensus/Term.h>
#include <core/Time.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// One chunk of the leader's snapshot, for a member that needs entries before the leader's log.
struct SnapshotRequest
{
    LogIndex index = 0;
    Term term = 0;
    Configuration configuration;
    std::uint64_t offset = 0; ///< Offset of this chunk in bytes.
    std::string chunk;
    bool last = false;
    Duration sentAt{}; ///< Leader's clock, meaningful to the leader only.

    auto operator==(const SnapshotRequest &) const -> bool = default;
};

} // namespace auburnrail

#endif
