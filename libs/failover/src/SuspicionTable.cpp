#include <failover/SuspicionTable.h>

#include <algorithm>

namespace auburnrail {

SuspicionTable::SuspicionTable(const FailoverLimits &failoverLimits)
    : limits(failoverLimits)
{
}

auto SuspicionTable::report(const std::string &instance, const std::string &group,
                            std::optional<Duration> suspectedFor, TimePoint now) -> void
{
    auto found = this->rows.find(group);
    if (found == this->rows.end()) {
        if (!suspectedFor)
            return;
        found = this->rows.emplace(group, Row{.firstAt = now, .reports = {}}).first;
    }
    auto &row = found->second;
    this->dropOldReports(row, now);
    if (row.reports.contains(instance) || row.reports.size() < this->limits.maxReporters)
        row.reports.insert_or_assign(instance, Report{.suspectedFor = suspectedFor, .at = now});
    if (isOver(row))
        this->rows.erase(found);
}

auto SuspicionTable::clear(const std::string &group) -> void
{
    this->rows.erase(group);
}

auto SuspicionTable::clearAll() -> void
{
    this->rows.clear();
}

auto SuspicionTable::takeConfirmed(TimePoint now) -> std::vector<std::string>
{
    auto confirmed = std::vector<std::string>();
    for (auto row = this->rows.begin(); row != this->rows.end();) {
        this->dropOldReports(row->second, now);
        const auto isConfirmedNow = this->isConfirmed(row->second, now);
        if (isConfirmedNow)
            confirmed.push_back(row->first);
        row = isConfirmedNow || isOver(row->second) ? this->rows.erase(row) : std::next(row);
    }
    return confirmed;
}

auto SuspicionTable::size() const -> std::size_t
{
    return this->rows.size();
}

auto SuspicionTable::dropOldReports(Row &row, TimePoint now) const -> void
{
    std::erase_if(row.reports, [&](const auto &item) {
        return now - item.second.at > this->limits.reportLifetime;
    });
}

auto SuspicionTable::isConfirmed(const Row &row, TimePoint now) const -> bool
{
    if (now - row.firstAt < this->limits.reportRound)
        return false;
    const auto held = std::count_if(row.reports.begin(), row.reports.end(), [&](const auto &item) {
        const auto &report = item.second;
        return report.suspectedFor
               && *report.suspectedFor + (now - report.at) >= this->limits.suspicionHold;
    });
    return static_cast<std::size_t>(held) * 2 > row.reports.size();
}

auto SuspicionTable::isOver(const Row &row) -> bool
{
    const auto healthy =
        std::count_if(row.reports.begin(), row.reports.end(),
                      [](const auto &item) { return !item.second.suspectedFor.has_value(); });
    return row.reports.empty() || static_cast<std::size_t>(healthy) * 2 > row.reports.size();
}

} // namespace auburnrail
