#ifndef AUBURNRAIL_FAILOVER_SUSPICIONTABLE_H
#define AUBURNRAIL_FAILOVER_SUSPICIONTABLE_H

#include <failover/FailoverLimits.h>

#include <core/Time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Reports on primaries under suspicion. A group has a row only while some entry suspects its
/// primary, so memory and work follow the number of suspected groups. Thread rule: guarded by its
/// owner.
class SuspicionTable
{
public:
    explicit SuspicionTable(const FailoverLimits &failoverLimits);

    /// Takes an entry's report. `suspectedFor` is how long it has not reached the primary; nothing
    /// means that the primary is healthy.
    auto report(const std::string &instance, const std::string &group,
                std::optional<Duration> suspectedFor, TimePoint now) -> void;

    /// Forgets a group.
    auto clear(const std::string &group) -> void;
    auto clearAll() -> void;

    /// Drops old reports and returns the groups whose primary must be replaced.
    [[nodiscard]] auto takeConfirmed(TimePoint now) -> std::vector<std::string>;

    /// Groups that have a row.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Report
    {
        std::optional<Duration> suspectedFor;
        TimePoint at;
    };

    struct Row
    {
        TimePoint firstAt;
        std::map<std::string, Report, std::less<>> reports;
    };

    auto dropOldReports(Row &row, TimePoint now) const -> void;
    [[nodiscard]] auto isConfirmed(const Row &row, TimePoint now) const -> bool;
    [[nodiscard]] static auto isOver(const Row &row) -> bool;

    FailoverLimits limits;
    std::map<std::string, Row, std::less<>> rows;
};

} // namespace auburnrail

#endif
