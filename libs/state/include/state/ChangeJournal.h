#ifndef AUBURNRAIL_STATE_CHANGEJOURNAL_H
#define AUBURNRAIL_STATE_CHANGEJOURNAL_H

#include <state/ChangeFilter.h>
#include <state/FleetChange.h>

#include <core/Revision.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace auburnrail {

/// The last change of each object, oldest first. A change that a later one supersedes is not kept,
/// so the memory grows with the number of objects and not with the number of changes. Thread rule:
/// guarded by its owner.
class ChangeJournal
{
public:
    /// Greatest number of changes kept.
    static constexpr auto CAPACITY_CHANGES = std::size_t(4096);

    auto append(FleetChange change) -> void;

    /// The latest change of every object changed after `revision`, that passes the filter; nothing
    /// when changes after `revision` were dropped.
    [[nodiscard]] auto since(Revision revision, const ChangeFilter &filter) const
        -> std::optional<std::vector<FleetChange>>;

    /// Number of changes kept.
    [[nodiscard]] auto size() const -> std::size_t;

    /// Drops all changes; since() then treats changes up to `revision` as dropped.
    auto restart(Revision revision) -> void;

private:
    using ObjectId = std::pair<ObjectKind, std::string>;

    std::map<std::uint64_t, FleetChange> changes; ///< By sequence.
    std::map<ObjectId, std::uint64_t> sequences;  ///< Of the change that is kept of each object.
    std::uint64_t lastSequence = 0;
    Revision dropped = 0;
};

} // namespace auburnrail

#endif
