#ifndef AUBURNRAIL_ENTRY_MEMBERCHOICE_H
#define AUBURNRAIL_ENTRY_MEMBERCHOICE_H

#include <core/Time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Chooses the control member that gets an entry's next heartbeat: the leader as long as it grants
/// leases, then the member that another one names as leader, else each in turn. A member that did
/// not respond shortly before is passed over in turn. When it is named as leader, it is tried
/// once with a short time limit, and with the usual one if it is silent again: it may be slow. Not
/// thread-safe.
class MemberChoice
{
public:
    /// How long a silent member is passed over: as long as a lease, in which a new leader is
    /// elected.
    static constexpr auto SILENCE_MEMORY_MS = std::chrono::milliseconds(2000);

    /// At least one name. With `learnsMembers` a leader that is not among them is added.
    MemberChoice(const std::vector<std::string> &names, bool learnsMembers);

    [[nodiscard]] auto current() const -> const std::string &;

    /// Whether the current member was silent once shortly before `now`, so that it is tried with a
    /// short time limit.
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
        std::optional<TimePoint> silentAt; ///< Last heartbeat that it did not answer.
        std::uint32_t silences = 0;        ///< Since its last response.
    };

    [[nodiscard]] static auto wasSilent(const Member &member, TimePoint now) -> bool;
    auto responded() -> void;
    auto chooseNextInTurn(TimePoint now) -> void;

    std::vector<Member> members;
    const bool learnsMembers;
    std::size_t index = 0; ///< Of the current member.
};

} // namespace auburnrail

#endif
