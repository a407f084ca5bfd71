#ifndef AUBURNRAIL_STATE_APPLIEDSTATE_H
#define AUBURNRAIL_STATE_APPLIEDSTATE_H

#include <state/FleetObjects.h>
#include <state/FleetSnapshot.h>
#include <state/FleetUpdate.h>

#include <core/RankedMutex.h>
#include <core/Revision.h>

#include <absl/status/status.h>

#include <memory>

namespace auburnrail {

/// An entry's copy of the state. Readers take a shared snapshot and never wait for an update to be
/// applied. Safe from any thread.
class AppliedState
{
public:
    /// The state at one revision; never null.
    [[nodiscard]] auto snapshot() const -> std::shared_ptr<const FleetObjects>;

    [[nodiscard]] auto revision() const -> Revision;

    /// See FleetObjects::applyChanges().
    [[nodiscard]] auto applyChanges(const FleetUpdate &update) -> absl::Status;

    /// Replaces the copy. `kFailedPrecondition` with no effect when the snapshot is older.
    [[nodiscard]] auto replace(const FleetSnapshot &newState) -> absl::Status;

private:
    mutable RankedMutex mutex{LockRank::AppliedState};
    std::shared_ptr<const FleetObjects>
        current ABSL_GUARDED_BY(mutex) = std::make_shared<FleetObjects>();
};

} // namespace auburnrail

#endif
