#ifndef AUBURNRAIL_CONTROL_ENTRYUPDATES_H
#define AUBURNRAIL_CONTROL_ENTRYUPDATES_H

#include <control/EntryUpdate.h>
#include <control/FleetStore.h>

#include <core/RankedMutex.h>
#include <core/Revision.h>

#include <absl/base/thread_annotations.h>

#include <map>

namespace auburnrail {

/// Composes the updates of the entries' copies of the state. Most entries are at the same revision,
/// so what one of them needs is kept for the others until the state changes. Thread-safe.
class EntryUpdates
{
public:
    /// `fleetStore` must outlive this object.
    explicit EntryUpdates(const FleetStore &fleetStore);

    /// The update for a copy at revision `applied`.
    [[nodiscard]] auto since(Revision applied) -> EntryUpdate;

private:
    const FleetStore &store;
    /// Also held while an update is composed, so that entries that ask at once wait for one result.
    RankedMutex mutex{LockRank::EntryUpdates};
    Revision revision ABSL_GUARDED_BY(mutex) = 0; ///< Of the state that `updates` lead to.
    std::map<Revision, EntryUpdate> updates ABSL_GUARDED_BY(mutex); ///< By the copy's revision.
};

} // namespace auburnrail

#endif
