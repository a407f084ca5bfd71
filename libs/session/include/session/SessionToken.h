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

/// What a session has seen, carried by its caller between entries.
struct SessionToken
{
    /// Groups kept in one token. It bounds the header that carries it to about 17 KiB.
    static constexpr auto MAX_GROUPS = std::size_t{64};

    std::string organisation;
    std::vector<SessionGroup> groups;  ///< Most recently used first; at most MAX_GROUPS.
    std::chrono::sys_seconds issuedAt; ///< Wall clock, because several processes compare it.

    /// Position seen in `group`. Nothing means unknown, also for a group that was dropped or never
    /// used: a token issued after the loss of another one must not hide the positions lost with it.
    [[nodiscard]] auto positionOf(std::string_view group) const -> std::optional<Position>;

    /// Raises the position of `group` to `position` and makes it the most recently used; drops the
    /// least recently used group over the limit.
    auto record(std::string_view group, Position position) -> void;
};

} // namespace auburnrail

#endif
