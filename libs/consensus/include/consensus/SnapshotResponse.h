#ifndef AUBURNRAIL_CONSENSUS_SNAPSHOTRESPONSE_H
#define AUBURNRAIL_CONSENSUS_SNAPSHOTRESPONSE_H

#include <consensus/LogIndex.h>
#include <core/Time.h>

#include <cstdint>

namespace auburnrail {

/// Response to a SnapshotRequest, with the offset in bytes of the next chunk needed.
struct SnapshotResponse
{
    LogIndex index = 0;
    std::uint64_t nextOffset = 0;
    Duration sentAt{}; ///< Copied from the request.

    auto operator==(const SnapshotResponse &) const -> bool = default;
};

} // namespace auburnrail

#endif
