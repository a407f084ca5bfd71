#ifndef AUBURNRAIL_STATE_COMMANDMEMORY_H
#define AUBURNRAIL_STATE_COMMANDMEMORY_H

#include <state/RememberedCommand.h>

#include <core/Revision.h>

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// Results of the last commands, so that a resent command gets the result of its first execution.
/// Thread rule: guarded by its owner.
class CommandMemory
{
public:
    static constexpr auto CAPACITY_COMMANDS = std::size_t(4096);

    /// Adds a row, whose revision must be later than that of all other rows. Drops the oldest row
    /// when the capacity is reached.
    auto remember(RememberedCommand row) -> void;

    [[nodiscard]] auto find(std::string_view commandId) const -> const RememberedCommand *;

    /// Command applied at `revision`.
    [[nodiscard]] auto findRevision(Revision revision) const -> const RememberedCommand *;

    /// Last applied command that changed the object.
    [[nodiscard]] auto findLastChange(ObjectKind kind, std::string_view name) const
        -> const RememberedCommand *;

    /// Revision of the last dropped command. A command whose base revision is lower may be a resend
    /// of a dropped one.
    [[nodiscard]] auto forgottenRevision() const -> Revision;

    [[nodiscard]] auto rows() const -> const std::deque<RememberedCommand> &;

    /// Replaces the contents by those of a snapshot.
    auto restore(std::vector<RememberedCommand> newRows, Revision newForgotten) -> void;

private:
    std::deque<RememberedCommand> remembered;
    std::map<std::string, Revision, std::less<>> revisions;
    Revision forgotten = 0;
};

} // namespace auburnrail

#endif
