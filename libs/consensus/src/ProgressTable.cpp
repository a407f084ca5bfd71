#include <consensus/detail/ProgressTable.h>

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace auburnrail::detail {

namespace {

/// Greatest value that at least `majority` of the values are equal to or above.
template <typename T>
auto majorityValue(std::vector<T> values, std::size_t majority) -> T
{
    if (values.size() < majority)
        return T();
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[majority - 1];
}

} // namespace

auto ProgressTable::reset(const MemberId &owner) -> void
{
    this->self = owner;
    this->members.clear();
}

auto ProgressTable::applyConfiguration(const Configuration &configuration, LogIndex nextIndex,
                                       TimePoint now) -> void
{
    std::erase_if(this->members, [&](const auto &row) {
        return row.second.voter && !configuration.contains(row.first);
    });
    for (const auto &voter : configuration.voters) {
        if (voter == this->self)
            continue;
        const auto [row, added] = this->members.try_emplace(
            voter, MemberProgress{.replicatingSince = now, .nextIndex = nextIndex});
        row->second.voter = true;
    }
}

auto ProgressTable::addLearner(const MemberId &learner, LogIndex nextIndex, TimePoint now)
    -> MemberProgress &
{
    std::erase_if(this->members, [&](const auto &row) {
        return !row.second.voter && row.first.name == learner.name && row.first != learner;
    });
    return this->members
        .try_emplace(learner, MemberProgress{.replicatingSince = now, .nextIndex = nextIndex})
        .first->second;
}

auto ProgressTable::dropUnresponsiveLearners(Duration limit, TimePoint now) -> void
{
    std::erase_if(this->members, [&](const auto &row) {
        return !row.second.voter && row.second.replicatingSince + limit <= now
               && !row.second.respondedWithin(limit, now);
    });
}

auto ProgressTable::find(const MemberId &member) -> MemberProgress *
{
    const auto found = this->members.find(member);
    return found == this->members.end() ? nullptr : &found->second;
}

auto ProgressTable::rows() -> Rows &
{
    return this->members;
}

auto ProgressTable::rows() const -> const Rows &
{
    return this->members;
}

auto ProgressTable::majorityIndex(const Configuration &configuration, LogIndex ownIndex) const
    -> LogIndex
{
    auto indexes = std::vector<LogIndex>();
    for (const auto &voter : configuration.voters) {
        if (voter == this->self)
            indexes.push_back(ownIndex);
        else if (const auto row = this->members.find(voter); row != this->members.end())
            indexes.push_back(row->second.matchIndex);
    }
    return majorityValue(std::move(indexes), configuration.majority());
}

auto ProgressTable::majorityRespondedAt(const Configuration &configuration, TimePoint now) const
    -> std::optional<TimePoint>
{
    auto times = std::vector<std::optional<TimePoint>>();
    for (const auto &voter : configuration.voters) {
        if (voter == this->self)
            times.emplace_back(now);
        else if (const auto row = this->members.find(voter); row != this->members.end())
            times.push_back(row->second.lastRespondedSentAt);
    }
    return majorityValue(std::move(times), configuration.majority());
}

auto ProgressTable::countResponsive(const Configuration &configuration, Duration window,
                                    TimePoint now) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        configuration.voters.begin(), configuration.voters.end(), [&](const MemberId &voter) {
            const auto row = this->members.find(voter);
            return voter == this->self
                   || (row != this->members.end() && row->second.respondedWithin(window, now));
        }));
}

} // namespace auburnrail::detail
