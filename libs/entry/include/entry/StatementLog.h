#ifndef AUBURNRAIL_ENTRY_STATEMENTLOG_H
#define AUBURNRAIL_ENTRY_STATEMENTLOG_H

#include <observe/EnumCounters.h>
#include <proxy/StatementReport.h>

namespace auburnrail {

/// Writes log lines and metrics for the statements of sessions. Thread-safe.
class StatementLog
{
public:
    /// `entryMetrics` must outlive this object.
    explicit StatementLog(Metrics &entryMetrics);

    auto add(const StatementReport &report) -> void;

private:
    Metrics &metrics;
    const MetricId served;
    EnumCounters<StatementError> failed;
    const MetricId seconds;
};

} // namespace auburnrail

#endif
