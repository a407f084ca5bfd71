#ifndef AUBURNRAIL_CONSENSUS_MEMBERID_H
#define AUBURNRAIL_CONSENSUS_MEMBERID_H

#include <consensus/MemberName.h>

#include <cstdint>
#include <string>
#include <tuple>

namespace auburnrail {

/// A member together with the incarnation of its disk. A member that lost its disk returns with a
/// new incarnation, because it no longer knows which votes and acknowledgements it gave and must
/// not be counted as the old member.
struct MemberId
{
    MemberName name;
    std::uint64_t incarnation = 0;

    auto operator==(const MemberId &) const -> bool = default;

    auto operator<(const MemberId &other) const -> bool
    {
        return std::tie(this->name, this->incarnation) < std::tie(other.name, other.incarnation);
    }
};

/// Returns `name/incarnation`, the format used in log messages and in the stored vote.
[[nodiscard]] inline auto toString(const MemberId &member) -> std::string
{
    return member.name + "/" + std::to_string(member.incarnation);
}

} // namespace auburnrail

#endif
