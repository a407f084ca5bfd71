#ifndef AUBURNRAIL_ENTRY_STATEMENTLOG_H
#define AUBURNRAIL_ENTRY_STATEMENTLOG_H

#include <observe/Metrics.h>
#include <proxy/StatementReport.h>
#include <quota/TokenBucket.h>

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <absl/base/thread_annotations.h>

#include <cstdint>

namespace auburnrail {

/// Log lines and metrics of the statements of sessions. Failures are logged within a budget, so
/// that a flood of them costs no more than it; what is left out is counted. Safe from any thread.
class StatementLog
{
public:
    /// Lines a second over a longer time, and at once. A line costs about as much as a tenth of a
    /// statement.
    static constexpr auto LINES_PER_SECOND = 20.0;
    static constexpr auto LINES_AT_ONCE = 100.0;

    /// `entryMetrics` must outlive this object.
    StatementLog(Metrics &entryMetrics, TimePoint now);

    auto add(const StatementReport &report, TimePoint now) -> void;

private:
    auto count(const StatementReport &report) -> void;

    Metrics &metrics;
    RankedMutex mutex{LockRank::ExplainLog};
    TokenBucket budget ABSL_GUARDED_BY(mutex);
    std::uint64_t leftOut ABSL_GUARDED_BY(mutex) = 0; ///< Since the last line.
};

} // namespace auburnrail

#endif
