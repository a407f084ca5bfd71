#ifndef AUBURNRAIL_STATE_CHANGEJOURNAL_H
#define AUBURNRAIL_STATE_CHANGEJOURNAL_H

#include <state/ChangeFilter.h>
#include <state/FleetChange.h>

#include <core/Revision.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace auburnrail {

/// The last changes of the state, oldest first. Thread rule: guarded by its owner.
class ChangeJournal
{
public:
    static constexpr auto CAPACITY_CHANGES = std::size_t(4096);

    auto append(FleetChange change) -> void;

    /// The latest change of every object changed after `revision`, that passes the filter; nothing
    /// when changes after `revision` were dropped.
    [[nodiscard]] auto since(Revision revision, const ChangeFilter &filter) const
        -> std::optional<std::vector<FleetChange>>;

    /// Drops all changes; since() then treats changes up to `revision` as dropped.
    auto restart(Revision revision) -> void;

private:
    std::deque<FleetChange> changes;
    Revision dropped = 0;
};

} // namespace auburnrail

#endif
