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

/// Results of the last commands, so that a resent one gets its first result.
/// Thread rule: guarded by its owner.
class CommandMemory
{
public:
    static constexpr auto CAPACITY_COMMANDS = std::size_t(4096);

    /// Adds the row of a later revision than every earlier row, and forgets the oldest one over
    /// capacity.
    auto remember(RememberedCommand row) -> void;

    [[nodiscard]] auto find(std::string_view commandId) const -> const RememberedCommand *;

    /// Command applied at `revision`.
    [[nodiscard]] auto findRevision(Revision revision) const -> const RememberedCommand *;

    /// Last applied command that changed the object.
    [[nodiscard]] auto findLastChange(ObjectKind kind, std::string_view name) const
        -> const RememberedCommand *;

    /// Revision of the last forgotten command. A command whose base revision is lower may be the
    /// resend of a forgotten one.
    [[nodiscard]] auto forgottenRevision() const -> Revision;

    [[nodiscard]] auto rows() const -> const std::deque<RememberedCommand> &;

    /// Replaces the content by that of a snapshot.
    auto restore(std::vector<RememberedCommand> newRows, Revision newForgotten) -> void;

private:
    std::deque<RememberedCommand> remembered;
    std::map<std::string, Revision, std::less<>> revisions;
    Revision forgotten = 0;
};

} // namespace auburnrail

#endif
