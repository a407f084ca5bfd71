#ifndef AUBURNRAIL_CONSENSUS_DETAIL_PROGRESSTABLE_H
#define AUBURNRAIL_CONSENSUS_DETAIL_PROGRESSTABLE_H

#include <consensus/Configuration.h>
#include <consensus/MemberId.h>
#include <consensus/detail/MemberProgress.h>

#include <cstddef>
#include <map>
#include <optional>

namespace auburnrail::detail {

/// A leader's replication progress table. It has a row for each other voter of the configuration
/// and for each learner. Not thread-safe: the owner guards it.
class ProgressTable
{
public:
    using Rows = std::map<MemberId, MemberProgress>;

    /// Removes all rows. `owner` is the leader itself, which has no row.
    auto reset(const MemberId &owner) -> void;

    /// Adds rows for the voters of `configuration`, marks them as voters, and removes the rows of
    /// former voters.
    auto applyConfiguration(const Configuration &configuration, LogIndex nextIndex, TimePoint now)
        -> void;

    /// Adds a learner, replacing one with the same name and another incarnation.
    auto addLearner(const MemberId &learner, LogIndex nextIndex, TimePoint now) -> MemberProgress &;

    /// Removes learners that have not responded for `limit`.
    auto dropUnresponsiveLearners(Duration limit, TimePoint now) -> void;

    /// Returns the row of `member`, or nullptr.
    [[nodiscard]] auto find(const MemberId &member) -> MemberProgress *;

    [[nodiscard]] auto rows() -> Rows &;
    [[nodiscard]] auto rows() const -> const Rows &;

    /// Greatest index that a majority of the voters holds; `ownIndex` counts for the leader itself.
    [[nodiscard]] auto majorityIndex(const Configuration &configuration, LogIndex ownIndex) const
        -> LogIndex;

    /// Latest time such that a majority responded to a request sent at or after it; empty if there
    /// is none.
    [[nodiscard]] auto majorityRespondedAt(const Configuration &configuration, TimePoint now) const
        -> std::optional<TimePoint>;

    /// Number of voters of `configuration`, including the leader itself, that responded to a
    /// request sent within `window` before `now`.
    [[nodiscard]] auto countResponsive(const Configuration &configuration, Duration window,
                                       TimePoint now) const -> std::size_t;

private:
    MemberId self;
    Rows members;
};

} // namespace auburnrail::detail

#endif
