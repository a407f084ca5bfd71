#ifndef AUBURNRAIL_STATE_FLEETSTATE_H
#define AUBURNRAIL_STATE_FLEETSTATE_H

#include <state/ChangeFilter.h>
#include <state/ChangeJournal.h>
#include <state/Command.h>
#include <state/CommandMemory.h>
#include <state/CommandResult.h>
#include <state/FleetObjects.h>
#include <state/FleetSnapshot.h>
#include <state/FleetUpdate.h>

#include <core/Revision.h>

#include <optional>
#include <string>

namespace auburnrail {

/// The replicated state machine of control members: objects, command memory and a journal of the
/// last changes. Members that applied the same commands are equal. Thread rule: guarded by its
/// owner (LockRank::FleetState).
class FleetState
{
public:
    [[nodiscard]] auto objects() const -> const FleetObjects &;
    [[nodiscard]] auto memory() const -> const CommandMemory &;
    [[nodiscard]] auto revision() const -> Revision;

    /// Update for a copy at `revision`; nothing when the copy needs a snapshot.
    [[nodiscard]] auto changesSince(Revision revision, const ChangeFilter &filter = {}) const
        -> std::optional<FleetUpdate>;

    /// Whole state for another control member or for disk.
    [[nodiscard]] auto snapshot() const -> FleetSnapshot;

    /// The objects that pass the filter, without the command memory, for an entry.
    [[nodiscard]] auto entrySnapshot(const ChangeFilter &filter = {}) const -> FleetSnapshot;

    /// Restores the state from a snapshot. Readers at older revisions then need a snapshot too.
    [[nodiscard]] static auto restore(const FleetSnapshot &snapshot) -> FleetState;

private:
    friend auto applyCommand(FleetState &state, const Command &command, Revision index)
        -> CommandResult;

    /// Stores or, without an object, deletes it, and records the change.
    auto store(Revision index, ObjectKind kind, const std::string &name,
               std::optional<FleetObject> object) -> void;

    FleetObjects current;
    CommandMemory commandMemory;
    ChangeJournal journal;
};

/// Applies the command at log `index`, which must be greater than the state's revision; a command
/// at another index has no effect and is TooOld. Depends on nothing but its arguments. The state's
/// revision becomes `index` whatever the result is.
auto applyCommand(FleetState &state, const Command &command, Revision index) -> CommandResult;

/// Objects of a snapshot, for an entry's copy.
[[nodiscard]] auto objectsOf(const FleetSnapshot &snapshot) -> FleetObjects;

} // namespace auburnrail

#endif
