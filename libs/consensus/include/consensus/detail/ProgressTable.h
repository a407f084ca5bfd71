#ifndef AUBURNRAIL_CONSENSUS_DETAIL_PROGRESSTABLE_H
#define AUBURNRAIL_CONSENSUS_DETAIL_PROGRESSTABLE_H

#include <consensus/Configuration.h>
#include <consensus/MemberId.h>
#include <consensus/detail/MemberProgress.h>

#include <cstddef>
#include <map>
#include <optional>

namespace auburnrail::detail {

/// A leader's table of the other members: the voters of its configuration, and learners.
/// Thread rule: guarded by its owner.
class ProgressTable
{
public:
    using Rows = std::map<MemberId, MemberProgress>;

    /// Forgets everything. `owner` is the leader itself, which has no row.
    auto reset(const MemberId &owner) -> void;

    /// Adds and marks the voters of `configuration` and removes those that are voters no more.
    auto follow(const Configuration &configuration, LogIndex nextIndex, TimePoint now) -> void;

    /// Adds a learner in the place of one with the same name and another incarnation.
    auto addLearner(const MemberId &learner, LogIndex nextIndex, TimePoint now) -> MemberProgress &;

    /// Removes learners that did not answer for `limit`.
    auto dropSilentLearners(Duration limit, TimePoint now) -> void;

    /// The row of `member`, or nullptr.
    [[nodiscard]] auto find(const MemberId &member) -> MemberProgress *;

    [[nodiscard]] auto rows() -> Rows &;
    [[nodiscard]] auto rows() const -> const Rows &;

    /// Greatest index that a majority of voters has, the leader itself having `ownIndex`.
    [[nodiscard]] auto majorityIndex(const Configuration &configuration, LogIndex ownIndex) const
        -> LogIndex;

    /// Latest time such that a majority answered a request sent then or later; empty if none did.
    [[nodiscard]] auto majorityAnswered(const Configuration &configuration, TimePoint now) const
        -> std::optional<TimePoint>;

    /// Number of voters of `configuration` that answer, with the leader itself.
    [[nodiscard]] auto answering(const Configuration &configuration, Duration window,
                                 TimePoint now) const -> std::size_t;

private:
    MemberId self;
    Rows members;
};

} // namespace auburnrail::detail

#endif
