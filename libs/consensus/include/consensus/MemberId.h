#ifndef AUBURNRAIL_CONSENSUS_MEMBERID_H
#define AUBURNRAIL_CONSENSUS_MEMBERID_H

#include <consensus/MemberName.h>

#include <cstdint>
#include <string>
#include <tuple>

namespace auburnrail {

/// One life of a member's disk. A member whose disk was lost has a new incarnation, because it no
/// longer knows its votes and acknowledgements and must not be counted as the old one.
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

/// `name/incarnation`, the form used in logs and in the stored vote.
[[nodiscard]] inline auto toString(const MemberId &member) -> std::string
{
    return member.name + "/" + std::to_string(member.incarnation);
}

} // namespace auburnrail

#endif
