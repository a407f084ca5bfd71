#ifndef AUBURNRAIL_CONTROL_FLEETSTORE_H
#define AUBURNRAIL_CONTROL_FLEETSTORE_H

#include <state/Command.h>
#include <state/CommandResult.h>
#include <state/FleetState.h>

#include <core/RankedMutex.h>

#include <absl/status/status.h>

#include <functional>
#include <optional>
#include <string>

namespace auburnrail {

/// The fleet state of one control member. Safe from any thread.
class FleetStore
{
public:
    /// Applies the committed entry at `index`. The result of a payload that can't be decoded is
    /// Invalid.
    [[nodiscard]] auto apply(Revision index, const std::string &payload) -> CommandResult;

    /// Replaces the state by an encoded snapshot. `kDataLoss` when it can't be decoded.
    [[nodiscard]] auto install(const std::string &snapshot) -> absl::Status;

    /// Encoded snapshot of the current state.
    [[nodiscard]] auto encodedSnapshot() const -> std::string;

    [[nodiscard]] auto revision() const -> Revision;

    /// Copy of the objects; cheap.
    [[nodiscard]] auto objects() const -> FleetObjects;

    /// Result of a recent command by its id, while the command memory holds it.
    [[nodiscard]] auto rememberedResult(const std::string &commandId) const
        -> std::optional<CommandResult>;

    /// Calls `reader` on the state with the lock held; it must not block.
    auto read(const std::function<auto(const FleetState &)->void> &reader) const -> void;

private:
    mutable RankedMutex mutex{LockRank::FleetState};
    FleetState state ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
