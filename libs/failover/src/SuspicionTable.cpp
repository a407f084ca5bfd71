#include <failover/SuspicionTable.h>

#include <algorithm>

namespace auburnrail {

SuspicionTable::SuspicionTable(const FailoverLimits &failoverLimits)
    : limits(failoverLimits)
{
}

auto SuspicionTable::report(const std::string &instance, const std::string &group,
                            std::optional<Duration> suspectedFor, TimePoint now) -> bool
{
    auto found = this->rows.find(group);
    const auto isFirst = found == this->rows.end();
    if (isFirst) {
        if (!suspectedFor)
            return false;
        found = this->rows.emplace(group, Row{.firstReportAt = now, .reports = {}}).first;
    }
    auto &row = found->second;
    this->dropOldReports(row, now);
    if (row.reports.contains(instance) || row.reports.size() < this->limits.maxReporters)
        row.reports.insert_or_assign(instance,
                                     Report{.suspectedFor = suspectedFor, .receivedAt = now});
    if (isResolved(row))
        this->rows.erase(found);
    return isFirst;
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
        row = isConfirmedNow || isResolved(row->second) ? this->rows.erase(row) : std::next(row);
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
        return now - item.second.receivedAt > this->limits.reportLifetime;
    });
}

auto SuspicionTable::isConfirmed(const Row &row, TimePoint now) const -> bool
{
    if (now - row.firstReportAt < this->limits.confirmationDelay)
        return false;
    const auto confirming =
        std::count_if(row.reports.begin(), row.reports.end(), [&](const auto &item) {
            const auto &report = item.second;
            return report.suspectedFor
                   && *report.suspectedFor + (now - report.receivedAt)
                          >= this->limits.suspicionThreshold;
        });
    return static_cast<std::size_t>(confirming) * 2 > row.reports.size();
}

auto SuspicionTable::isResolved(const Row &row) -> bool
{
    const auto healthy =
        std::count_if(row.reports.begin(), row.reports.end(),
                      [](const auto &item) { return !item.second.suspectedFor.has_value(); });
    return row.reports.empty() || static_cast<std::size_t>(healthy) * 2 > row.reports.size();
}

} // namespace auburnrail
