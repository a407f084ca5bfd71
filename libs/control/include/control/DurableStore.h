#ifndef AUBURNRAIL_CONTROL_DURABLESTORE_H
#define AUBURNRAIL_CONTROL_DURABLESTORE_H

#include <consensus/DurableState.h>
#include <consensus/MemberId.h>
#include <consensus/PersistBatch.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>

namespace auburnrail {

/// Where a ConsensusRunner keeps the durable state of its member: a ConsensusDisk, or a stand-in in
/// tests. One caller at a time.
struct DurableStore
{
    MemberId self;

    /// Reads the whole durable state.
    std::function<auto()->absl::StatusOr<DurableState>> restore;

    /// Writes and syncs the batch; may block for as long as the disk does. After an error, the next
    /// call passes the same batch again.
    std::function<auto(const PersistBatch &)->absl::Status> persist;
};

} // namespace auburnrail

#endif
