#include <entry/AcknowledgedPositions.h>

#include <lease/LeaseTiming.h>

#include <core/RankedLock.h>

#include <algorithm>

namespace auburnrail {

auto AcknowledgedPositions::record(std::string_view group, std::optional<Position> position) -> void
{
    const RankedLock lock(this->mutex);
    auto &row = this->rowOf(group);
    row.isUnknown = row.isUnknown || !position;
    row.highest = std::max(row.highest, position.value_or(Position()));
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

auto AcknowledgedPositions::primaryPublished(std::string_view group) -> void
{
    const RankedLock lock(this->mutex);
    if (const auto found = this->rows.find(group); found != this->rows.end())
        found->second.fencedIn = 0;
}

auto AcknowledgedPositions::finalReports(TimePoint now) -> std::vector<AcknowledgedReport>
{
    const RankedLock lock(this->mutex);
    auto reports = std::vector<AcknowledgedReport>();
    for (const auto &[group, row] : this->rows) {
        if (row.fencedIn != 0 && !row.isUnknown && now - row.fencedAt > ACKNOWLEDGEMENT_GRACE)
            reports.push_back({.group = group, .term = row.fencedIn, .position = row.highest});
    }
    return reports;
}

auto AcknowledgedPositions::rowOf(std::string_view group) -> Row &
{
    auto found = this->rows.find(group);
    if (found == this->rows.end())
        found = this->rows.emplace(std::string(group), Row()).first;
    return found->second;
}

} // namespace auburnrail
