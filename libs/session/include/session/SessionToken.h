#ifndef AUBURNRAIL_SESSION_SESSIONTOKEN_H
#define AUBURNRAIL_SESSION_SESSIONTOKEN_H

#include <session/SessionGroup.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// Positions that a session has seen. The caller carries the token between entries.
struct SessionToken
{
    /// Groups kept in one token. Limits the header that carries the token to about 17 KiB.
    static constexpr auto MAX_GROUPS = std::size_t{64};

    std::string organisation;
    std::vector<SessionGroup> groups;  ///< Most recently used first; at most MAX_GROUPS.
    std::chrono::sys_seconds issuedAt; ///< Wall clock, because several processes compare it.

    /// Position seen in `group`; std::nullopt when it is unknown, also for a group that was dropped
    /// or never used. A token issued after an earlier one was lost lacks the positions of that one,
    /// so a missing group must not be read as position 0.
    [[nodiscard]] auto positionOf(std::string_view group) const -> std::optional<Position>;

    /// Raises the position of `group` to at least `position` and makes it the most recently used
    /// group. Drops the least recently used group when there are more than MAX_GROUPS.
    auto record(std::string_view group, Position position) -> void;
};

} // namespace auburnrail

#endif
