#ifndef AUBURNRAIL_ENTRY_STATEMENTLOG_H
#define AUBURNRAIL_ENTRY_STATEMENTLOG_H

#include <observe/Metrics.h>
#include <proxy/StatementReport.h>

#include <core/EnumTable.h>

#include <array>

namespace auburnrail {

/// Log lines and metrics of the statements of sessions. Safe from any thread.
class StatementLog
{
public:
    /// `entryMetrics` must outlive this object.
    explicit StatementLog(Metrics &entryMetrics);

    auto add(const StatementReport &report) -> void;

private:
    Metrics &metrics;
    const MetricId served;
    const std::array<MetricId, ENUM_NAMES<StatementError>.size()> failed; ///< By error.
    const MetricId seconds;
};

} // namespace auburnrail

#endif
