#ifndef AUBURNRAIL_FAILOVER_SUSPICIONTABLE_H
#define AUBURNRAIL_FAILOVER_SUSPICIONTABLE_H

#include <failover/FailoverLimits.h>

#include <core/Time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Reports of entries on suspected primaries. A group has a row only while an entry suspects its
/// primary, so that memory and work grow with the number of suspected groups only. Not thread-safe:
/// the owner guards it.
class SuspicionTable
{
public:
    explicit SuspicionTable(const FailoverLimits &failoverLimits);

    /// Adds an entry's report. `suspectedFor` is for how long the entry has not reached the
    /// primary; nothing means that the primary is healthy. True if it is the first report against
    /// this primary.
    auto report(const std::string &instance, const std::string &group,
                std::optional<Duration> suspectedFor, TimePoint now) -> bool;

    /// Removes the reports on a group.
    auto clear(const std::string &group) -> void;
    auto clearAll() -> void;

    /// Drops old reports and removes and returns the groups whose primary must be replaced.
    [[nodiscard]] auto takeConfirmed(TimePoint now) -> std::vector<std::string>;

    /// Number of groups that have a row.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Report
    {
        std::optional<Duration> suspectedFor;
        TimePoint receivedAt;
    };

    struct Row
    {
        TimePoint firstReportAt;
        std::map<std::string, Report, std::less<>> reports;
    };

    auto dropOldReports(Row &row, TimePoint now) const -> void;
    [[nodiscard]] auto isConfirmed(const Row &row, TimePoint now) const -> bool;
    [[nodiscard]] static auto isResolved(const Row &row) -> bool;

    FailoverLimits limits;
    std::map<std::string, Row, std::less<>> rows;
};

} // namespace auburnrail

#endif
