#include <entry/AcknowledgedPositions.h>

#include <lease/LeaseTiming.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <compare>

namespace auburnrail {

auto AcknowledgedPositions::acknowledge(std::string_view group, std::optional<Position> position,
                                        const std::function<auto()->bool> &decide) -> bool
{
    {
        const RankedLock lock(this->mutex);
        ++this->rowOf(group).openDecisions;
    }
    const auto isAcknowledged = decide();
    const RankedLock lock(this->mutex);
    auto &row = this->rowOf(group);
    --row.openDecisions;
    if (isAcknowledged)
        add(row, position);
    return isAcknowledged;
}

auto AcknowledgedPositions::record(std::string_view group, std::optional<Position> position) -> void
{
    const RankedLock lock(this->mutex);
    add(this->rowOf(group), position);
}

auto AcknowledgedPositions::primaryReplaced(std::string_view group, std::uint64_t term,
                                            TimePoint now) -> void
{
    const RankedLock lock(this->mutex);
    auto &row = this->rowOf(group);
    // In a further term without a primary there is nothing new to acknowledge.
    if (row.fencedIn == 0)
        row.fencedAt = now;
    row.fencedIn = term;
}

auto AcknowledgedPositions::primaryPublished(std::string_view group, std::uint64_t term) -> void
{
    const RankedLock lock(this->mutex);
    auto &row = this->rowOf(group);
    row.fencedIn = 0;
    if (row.publishedIn == term)
        return;
    row.publishedIn = term;
    row.highestNamed = Position();
    row.observed = ObservedPositions();
}

auto AcknowledgedPositions::stampReceived(const LeaderStamp &stamp, TimePoint receivedAt) -> void
{
    const RankedLock lock(this->mutex);
    this->stamps.add(stamp, receivedAt);
}

auto AcknowledgedPositions::primaryNamed(std::string_view group, std::uint64_t term,
                                         Position position, TimePoint sentAt) -> void
{
    const RankedLock lock(this->mutex);
    auto &row = this->rowOf(group);
    if (row.publishedIn != term || row.fencedIn != 0)
        return;
    // A process that started again has lost its log: what it names covers nothing.
    if (position == Position() || std::is_lt(position <=> std::max(row.highestNamed, row.highest)))
        return;
    row.highestNamed = position;
    if (const auto stamp = this->stamps.newestBefore(sentAt); stamp)
        row.observed.add({.position = position, .after = *stamp});
}

auto AcknowledgedPositions::finalReports(TimePoint now) -> std::vector<AcknowledgedReport>
{
    const RankedLock lock(this->mutex);
    auto reports = std::vector<AcknowledgedReport>();
    for (const auto &[group, row] : this->rows) {
        if (row.fencedIn != 0 && !row.isUnknown && row.openDecisions == 0
            && now - row.fencedAt > ACKNOWLEDGEMENT_GRACE)
            reports.push_back({.group = group,
                               .term = row.fencedIn,
                               .position = row.highest,
                               .observed = row.observed.positions()});
    }
    return reports;
}

auto AcknowledgedPositions::add(Row &row, std::optional<Position> position) -> void
{
    row.isUnknown = row.isUnknown || !position;
    row.highest = std::max(row.highest, position.value_or(Position()));
}

auto AcknowledgedPositions::rowOf(std::string_view group) -> Row &
{
    auto found = this->rows.find(group);
    if (found == this->rows.end())
        found = this->rows.emplace(std::string(group), Row()).first;
    return found->second;
}

} // namespace auburnrail
