#ifndef AUBURNRAIL_CONTROL_ENTRYUPDATE_H
#define AUBURNRAIL_CONTROL_ENTRYUPDATE_H

#include <state/FleetSnapshot.h>
#include <state/FleetUpdate.h>

#include <memory>

namespace auburnrail {

/// What brings an entry's copy of the state up to date: one of the two, or none if it is.
struct EntryUpdate
{
    std::shared_ptr<const FleetUpdate> changes;
    std::shared_ptr<const FleetSnapshot> snapshot; ///< The copy is too old for changes.
};

} // namespace auburnrail

#endif
