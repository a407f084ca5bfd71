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
/// once with a short time limit, and with the usual one if it is silent again: it may be slow.
///
/// Members are replaced while the entry runs. The list of the one that grants leases, which leads a
/// majority, takes the place of what was known; names from other sources are only added. Not
/// thread-safe.
class MemberChoice
{
public:
    /// How long a silent member is passed over: as long as a lease, in which a new leader is
    /// elected.
    static constexpr auto SILENCE_MEMORY_MS = std::chrono::milliseconds(2000);

    /// Names that aren't from the settings or from a leader are dropped beyond this number.
    static constexpr auto MAX_MEMBERS = std::size_t(32);

    /// At least one name. Without `learnsMembers` these remain the members.
    MemberChoice(const std::vector<std::string> &names, bool learnsMembers);

    [[nodiscard]] auto current() const -> const std::string &;

    /// Whether the current member was silent once shortly before `now`, so that it is tried with a
    /// short time limit.
    [[nodiscard]] auto isSuspect(TimePoint now) const -> bool;

    /// The current member granted a lease and named the members; empty when it doesn't name them.
    auto granted(const std::vector<std::string> &names) -> void;

    /// The current member granted no lease and named `leader`, which is empty when it knows none,
    /// and the members that it knows.
    auto refused(const std::string &leader, const std::vector<std::string> &names, TimePoint now)
        -> void;

    /// The current member did not respond.
    auto silent(TimePoint now) -> void;

    /// Whether each member was tried since the last lease or the last call of add(). All of them
    /// may have been replaced.
    [[nodiscard]] auto hasTriedAll() const -> bool;

    /// Adds members from another source, for example the settings file, and tries these next. They
    /// take the place of the ones that were added before, and of those that no leader has named.
    auto add(const std::vector<std::string> &names) -> void;

private:
    struct Member
    {
        std::string name;
        std::optional<TimePoint> silentAt; ///< Last heartbeat that it did not answer.
        std::uint32_t silences = 0;        ///< Since its last response.
        bool isNamedByLeader = false;      ///< By the last one that granted a lease.
    };

    [[nodiscard]] static auto wasSilent(const Member &member, TimePoint now) -> bool;
    auto responded() -> void;
    [[nodiscard]] auto find(const std::string &name) -> std::vector<Member>::iterator;
    auto insert(const std::vector<std::string> &names) -> void;
    auto chooseNextInTurn(TimePoint now) -> void;

    std::vector<Member> members;
    const bool learnsMembers;
    std::size_t index = 0;  ///< Of the current member.
    std::size_t failed = 0; ///< Heartbeats without a lease since the last one or add().
};

} // namespace auburnrail

#endif
