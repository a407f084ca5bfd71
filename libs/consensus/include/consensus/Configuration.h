#ifndef AUBURNRAIL_CONSENSUS_CONFIGURATION_H
#define AUBURNRAIL_CONSENSUS_CONFIGURATION_H

#include <consensus/MemberId.h>

#include <algorithm>
#include <cstddef>
#include <set>

namespace auburnrail {

/// The voters of the cluster. A member uses a configuration as soon as its entry is in the member's
/// log, committed or not. Successive configurations differ by one voter, so that their majorities
/// intersect.
struct Configuration
{
    std::set<MemberId> voters;

    /// Number of votes that an election needs, and number of copies that a commit needs.
    [[nodiscard]] auto majority() const -> std::size_t
    {
        return this->voters.size() / 2 + 1;
    }

    [[nodiscard]] auto contains(const MemberId &member) const -> bool
    {
        return this->voters.contains(member);
    }

    /// Returns the voter named `name`, or nullptr.
    [[nodiscard]] auto find(const MemberName &name) const -> const MemberId *
    {
        const auto found = std::find_if(this->voters.begin(), this->voters.end(),
                                        [&](const MemberId &voter) { return voter.name == name; });
        return found == this->voters.end() ? nullptr : &*found;
    }

    auto operator==(const Configuration &) const -> bool = default;
};

} // namespace auburnrail

#endif
