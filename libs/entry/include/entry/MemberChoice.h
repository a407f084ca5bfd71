#ifndef AUBURNRAIL_ENTRY_MEMBERCHOICE_H
#define AUBURNRAIL_ENTRY_MEMBERCHOICE_H

#include <core/Time.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Chooses the control member that gets an entry's next heartbeat: the leader as long as it grants
/// leases, then the member that another one names as leader, else each in turn. A member that did
/// not respond shortly before is passed over in turn, and suspect when it is named. Not
/// thread-safe.
class MemberChoice
{
public:
    /// A member stays suspect for this long after it did not respond: as long as a lease, in which
    /// a new leader is elected.
    static constexpr auto SUSPECT_FOR_MS = std::chrono::milliseconds(2000);

    /// At least one name. With `learnsMembers` a leader that is not among them is added.
    MemberChoice(const std::vector<std::string> &names, bool learnsMembers);

    [[nodiscard]] auto current() const -> const std::string &;

    /// Whether the current member did not respond shortly before `now`.
    [[nodiscard]] auto isSuspect(TimePoint now) const -> bool;

    /// The current member granted a lease.
    auto granted() -> void;

    /// The current member granted no lease and named `leader`; empty when it knows none.
    auto refused(const std::string &leader, TimePoint now) -> void;

    /// The current member did not respond.
    auto silent(TimePoint now) -> void;

private:
    struct Member
    {
        std::string name;
        std::optional<TimePoint> silentAt;
    };

    [[nodiscard]] static auto isSuspect(const Member &member, TimePoint now) -> bool;
    auto chooseNextInTurn(TimePoint now) -> void;

    std::vector<Member> members;
    const bool learnsMembers;
    std::size_t index = 0; ///< Of the current member.
};

} // namespace auburnrail

#endif
